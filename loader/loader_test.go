package loader

import (
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
)

const whole = `
Instance: a1
AvailabilityZone: a
Listen: {API: "0.0.0.0:7400", Mesh: "10.0.0.1:7401"}
DataFolder: /var/lib/chervilvane
Peers:
  - {Instance: a1, AvailabilityZone: a, Mesh: "10.0.0.1:7401", API: "10.0.0.1:7400", Voter: true}
  - {Instance: a2, AvailabilityZone: a, Mesh: "10.0.0.2:7401", API: "10.0.0.2:7400"}
TLS: {Authority: ca.pem, Certificate: a1.pem, Key: a1.key}
Operators:
  - Name: ana
    KeyHash: 9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08
Log: {Level: Debug}
Trace: {OTLP: "http://127.0.0.1:4318"}
Timing: {KeyFreshness: 2s}
`

func TestParseFillsDefaults(t *testing.T) {
	is := is.New(t)
	s, findings := Parse("a1.yaml", []byte(whole))
	is.Equal(len(findings), 0) // valid settings have no findings
	is.Equal(s.Timing.KeyFreshness, 2*clock.Second)
	is.Equal(s.Timing.Heartbeat, 100*clock.Millisecond)
	is.True(s.Peers[0].Voter)
}
