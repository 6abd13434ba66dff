package loader

import (
	"net/netip"
	"net/url"
	"regexp"
	"strings"

	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// maxPath bounds the length of a path or URL, in bytes.
const maxPath = 1024

// reader walks the settings and keeps the places that are judged once all of
// them have been read.
type reader struct {
	settings Settings
	root     decoder.Value

	instance, zone, dataFolder, peers, tls decoder.Value
	timing                                 timingPlaces
	// instances and addresses hold the places of the peers' names and
	// addresses, to find repeated ones.
	instances, addresses map[string]decoder.Value
}

func (r *reader) read() {
	s := &r.settings
	r.root.Object(decoder.Fields{
		"Instance":         func(v decoder.Value) { r.instance = v; s.Instance = unit.Instance(v.Name()) },
		"AvailabilityZone": func(v decoder.Value) { r.zone = v; s.AvailabilityZone = unit.AvailabilityZone(v.Name()) },
		"Listen":           r.readListen,
		"DataFolder":       func(v decoder.Value) { r.dataFolder = v; s.DataFolder = readPath(v) },
		"Peers":            r.readPeers,
		"TLS":              r.readTLS,
		"Operators":        r.readOperators,
		"Log":              r.readLog,
		"Trace":            r.readTrace,
		"Timing":           r.readTiming,
	}, "Instance", "AvailabilityZone", "Listen", "Peers")
	r.checkSelf()
	r.checkVoters()
	r.checkTLS()
	r.checkTiming()
}

func (r *reader) readListen(v decoder.Value) {
	l := &r.settings.Listen
	v.Object(decoder.Fields{
		"API":  func(v decoder.Value) { l.API = readAddress(v, listenAddress) },
		"Mesh": func(v decoder.Value) { l.Mesh = readAddress(v, listenAddress) },
	}, "API", "Mesh")
}

// addressUse tells what an address is for.
type addressUse int

const (
	// listenAddress may be the unspecified IP number of all interfaces, and
	// its port may be 0 for any free one.
	listenAddress addressUse = iota
	// peerAddress is one that others connect to.
	peerAddress
)

func readAddress(v decoder.Value, use addressUse) string {
	const want = "an address like 10.0.0.1:7400 or [fd00::1]:7400 (IP:PORT, no host name)"
	s := v.TextMatching(maxPath, want, func(s string) bool {
		a, err := netip.ParseAddrPort(s)
		return err == nil && !a.Addr().IsMulticast()
	})
	if s == "" {
		return ""
	}
	a := netip.MustParseAddrPort(s)
	if use == peerAddress && (a.Port() == 0 || a.Addr().IsUnspecified()) {
		v.Reject("%s can't be connected to; want the IP number of the instance and a port from 1 to 65535", a)
		return ""
	}
	return a.String()
}

func readPath(v decoder.Value) string {
	return v.TextMatching(maxPath, "the path of a file or folder", func(s string) bool {
		return s != "" && !strings.ContainsRune(s, 0)
	})
}

func (r *reader) readTLS(v decoder.Value) {
	r.tls = v
	t := &r.settings.TLS
	v.Object(decoder.Fields{
		"Authority":   func(v decoder.Value) { t.Authority = readPath(v) },
		"Certificate": func(v decoder.Value) { t.Certificate = readPath(v) },
		"Key":         func(v decoder.Value) { t.Key = readPath(v) },
	}, "Authority", "Certificate", "Key")
}

var hashPattern = regexp.MustCompile(`^[0-9a-f]{64}$`)

func (r *reader) readOperators(v decoder.Value) {
	names, hashes := map[string]decoder.Value{}, map[string]decoder.Value{}
	v.List(func(v decoder.Value) {
		var o Operator
		v.Object(decoder.Fields{
			"Name": func(v decoder.Value) {
				o.Name = v.Name()
				rejectRepeated(names, v, o.Name)
			},
			"KeyHash": func(v decoder.Value) {
				o.KeyHash = readHash(v)
				rejectRepeated(hashes, v, o.KeyHash)
			},
		}, "Name", "KeyHash")
		r.settings.Operators = append(r.settings.Operators, o)
	})
}

func readHash(v decoder.Value) string {
	return v.TextMatching(maxPath, "the SHA-256 of the key as 64 lower-case hexadecimal digits", hashPattern.MatchString)
}

// rejectRepeated notes the first place of a text and rejects the later ones.
func rejectRepeated(places map[string]decoder.Value, v decoder.Value, s string) {
	if s == "" {
		return
	}
	if first, taken := places[s]; taken {
		v.Reject("%s stands at %s in line %d already", s, first.Path(), first.Line())
		return
	}
	places[s] = v
}

func (r *reader) readLog(v decoder.Value) {
	v.Object(decoder.Fields{
		"Level": func(v decoder.Value) { r.settings.Log.Level = v.Choice("Debug", "Info", "Warn", "Error") },
	})
}

func (r *reader) readTrace(v decoder.Value) {
	t := &r.settings.Trace
	v.Object(decoder.Fields{
		"File": func(v decoder.Value) { t.File = readPath(v) },
		"OTLP": func(v decoder.Value) { t.OTLP = readURL(v) },
	})
}

func readURL(v decoder.Value) string {
	return v.TextMatching(maxPath, "the URL of an OTLP/HTTP collector like http://10.0.0.1:4318", func(s string) bool {
		u, err := url.Parse(s)
		return err == nil && (u.Scheme == "http" || u.Scheme == "https") && u.Host != ""
	})
}
