package loader

import (
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// Bounds of the limits: what lies beyond is a mistake.
const (
	minDescriptors = 256
	maxCount       = 1_000_000
	maxBodyTime    = 3 * clock.Minute
)

func (r *reader) readLimits(v decoder.Value) {
	l := &r.settings.Limits
	a := &l.Admission
	v.Object(decoder.Fields{
		"Memory":                func(v decoder.Value) { l.Memory = v.Memory() },
		"Descriptors":           func(v decoder.Value) { l.Descriptors = int(v.Integer(minDescriptors, maxCount)) },
		"RequestBytes":          func(v decoder.Value) { a.RequestBytes = v.Memory() },
		"Connections":           func(v decoder.Value) { a.Connections = int(v.Integer(1, maxCount)) },
		"ConnectionsPerAddress": func(v decoder.Value) { a.ConnectionsPerAddress = int(v.Integer(1, maxCount)) },
		"BodyTime":              func(v decoder.Value) { readDuration(v, &a.BodyTimeout, nil, clock.Second, maxBodyTime) },
		"BodyStall":             func(v decoder.Value) { readDuration(v, &a.BodyStall, nil, 100, clock.Minute) },
		"BodyBytesPerSecond":    func(v decoder.Value) { a.BodyRate = unit.Bytes(v.Integer(1, 1_000_000_000)) },
		"MeshConnections":       func(v decoder.Value) { a.MeshConnections = int(v.Integer(1, maxCount)) },
	})
}
