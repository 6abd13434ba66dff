package loader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/chervilvane/chervilvane/clock"
)

const validSettings = `
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
	s, findings := Parse("a1.yaml", []byte(validSettings))
	is.Equal(len(findings), 0) // valid settings have no findings
	is.Equal(s.Timing.KeyFreshness, 2*clock.Second)
	is.Equal(s.Timing.Heartbeat, 100*clock.Millisecond)
	is.True(s.Peers[0].Voter)
}

func TestFindings(t *testing.T) {
	settingsWithPeers := func(voters ...string) string {
		text := "Instance: a1\nAvailabilityZone: a\nListen: {API: 0.0.0.0:1, Mesh: 0.0.0.0:2}\nDataFolder: d\nPeers:\n"
		for i, v := range voters {
			number := string(rune('1' + i))
			text += "  - {Instance: a" + number + ", AvailabilityZone: a, Mesh: 10.0.0." + number + ":2, API: 10.0.0." + number + ":1, Voter: " + v + "}\n"
		}
		return text
	}
	singlePeer := settingsWithPeers("true")
	cases := map[string]struct{ text, want string }{
		"host name as address":             {strings.Replace(singlePeer, "API: 0.0.0.0:1", "API: localhost:1", 1), `t:3:15: Listen.API: the value is "localhost:1"; want an address like 10.0.0.1:7400 or [fd00::1]:7400 (IP:PORT, no host name)`},
		"unspecified peer address":         {strings.Replace(singlePeer, "10.0.0.1:2", "0.0.0.0:2", 1), "t:6:47: Peers[0].Mesh: 0.0.0.0:2 can't be connected to; want the IP number of the instance and a port from 1 to 65535"},
		"instance missing from peers":      {strings.Replace(singlePeer, "Instance: a1\n", "Instance: b7\n", 1), "t:1:11: Instance: Peers doesn't list b7; it must list every instance, this one included"},
		"zone differs from peers":          {strings.Replace(singlePeer, "Zone: a\n", "Zone: b\n", 1), "t:2:19: AvailabilityZone: Peers lists this instance in availability zone a; both must be the same"},
		"no voters":                        {settingsWithPeers("false"), "t:6:3: Peers: 0 peers are voters; an odd number from 1 to 7 is needed"},
		"two voters":                       {settingsWithPeers("true", "true") + "TLS: {Authority: a, Certificate: c, Key: k}", "t:6:3: Peers: 2 peers are voters; an odd number from 1 to 7 is needed"},
		"voter without data folder":        {strings.Replace(singlePeer, "DataFolder: d\n", "", 1), "t:1:11: Instance: the instance is a voter and so needs a DataFolder"},
		"repeated address":                 {strings.Replace(singlePeer, "10.0.0.1:1", "10.0.0.1:2", 1), "t:6:64: Peers[0].API: 10.0.0.1:2 stands at Peers[0].Mesh in line 6 already"},
		"several peers without TLS":        {settingsWithPeers("true", "false"), "t:1:1: .: TLS is missing; instances with peers need Authority, Certificate and Key (see chervilvane certs)"},
		"invalid key hash":                 {singlePeer + "Operators: [{Name: ana, KeyHash: ABC}]", `t:7:34: Operators[0].KeyHash: the value is "ABC"; want the SHA-256 of the key as 64 lower-case hexadecimal digits`},
		"collector without scheme":         {singlePeer + "Trace: {OTLP: 10.0.0.1:4318}", `t:7:15: Trace.OTLP: the value is "10.0.0.1:4318"; want the URL of an OTLP/HTTP collector like http://10.0.0.1:4318`},
		"duration without unit":            {singlePeer + "Timing: {Drain: 5}", `t:7:17: Timing.Drain: the value is "5", without a unit; want a span of time like 100ms or 3s; units are ms, s, m, h, d`},
		"election below 5 heartbeats":      {singlePeer + "Timing: {Heartbeat: 300ms}", "t:7:9: Timing: Election is 1s; it must be at least 5 heartbeats of 300ms"},
		"leases too short":                 {singlePeer + "Timing: {ZoneLease: 900ms, TaskLease: 800ms}", "t:7:21: Timing.ZoneLease: ZoneLease is 900ms; it must be at least Election (1s), or each election interrupts the zones\nt:7:39: Timing.TaskLease: TaskLease is 800ms; it must be at least ZoneLease (900ms), or tasks end before a new scheduler can renew them"},
		"key freshness not above election": {singlePeer + "Timing: {KeyFreshness: 1s}", "t:7:24: Timing.KeyFreshness: KeyFreshness is 1s; it must be above Election (1s), or each election refuses keyed work"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, findings := Parse("t", []byte(c.text))
			var lines []string
			for _, f := range findings {
				lines = append(lines, f.String())
			}
			is.Equal(strings.Join(lines, "\n"), c.want)
		})
	}
}

func TestLoad(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "settings.yaml")
	_, _, err := Load(path)
	is.True(err != nil) // a missing file causes an error, not a finding
	is.NoErr(os.WriteFile(path, []byte(validSettings), 0o600))
	s, findings, err := Load(path)
	is.NoErr(err)
	is.Equal(len(findings), 0)
	is.Equal(string(s.Instance), "a1")
}
