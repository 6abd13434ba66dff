package loader

import (
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// MaxVoters bounds the number of voters of the log. Seven tolerate three faults;
// more voters would slow down each log entry and tolerate more faults than
// operators plan for.
const MaxVoters = 7

func (r *reader) readPeers(v decoder.Value) {
	r.peers = v
	v.List(func(v decoder.Value) {
		var p Peer
		readPeerAddress := func(dst *string) func(decoder.Value) {
			return func(v decoder.Value) {
				*dst = readAddress(v, peerAddress)
				rejectRepeated(r.addressValues, v, *dst)
			}
		}
		v.Object(decoder.Fields{
			"Instance": func(v decoder.Value) {
				p.Instance = unit.Instance(v.Name())
				rejectRepeated(r.instanceValues, v, string(p.Instance))
			},
			"AvailabilityZone": func(v decoder.Value) { p.AvailabilityZone = unit.AvailabilityZone(v.Name()) },
			"Mesh":             readPeerAddress(&p.Mesh),
			"API":              readPeerAddress(&p.API),
			"Voter":            func(v decoder.Value) { p.Voter = v.Bool() },
		}, "Instance", "AvailabilityZone", "Mesh", "API")
		r.settings.Peers = append(r.settings.Peers, p)
	})
}

// checkSelf checks that Peers lists this instance with its availability zone,
// and that the instance has a data folder if it is a voter.
func (r *reader) checkSelf() {
	s := r.settings
	if s.Instance == "" || !r.peers.IsPresent() {
		return
	}
	for _, p := range s.Peers {
		if p.Instance != s.Instance {
			continue
		}
		if p.AvailabilityZone != s.AvailabilityZone && p.AvailabilityZone != "" {
			r.availabilityZone.Reject("Peers lists this instance in availability zone %s; both must be the same", p.AvailabilityZone)
		}
		if p.Voter && !r.dataFolder.IsPresent() {
			r.instance.Reject("the instance is a voter and so needs a DataFolder")
		}
		return
	}
	r.instance.Reject("Peers doesn't list %s; it must list every instance, this one included", s.Instance)
}

// checkVoters rejects too many voters and an even number of them, which
// tolerates no more faults than the next lower odd number.
func (r *reader) checkVoters() {
	voters := 0
	for _, p := range r.settings.Peers {
		if p.Voter {
			voters++
		}
	}
	if voters%2 == 0 || voters > MaxVoters {
		r.peers.Reject("%d peers are voters; an odd number from 1 to %d is needed", voters, MaxVoters)
	}
}

// checkTLS rejects a fleet of several instances without TLS, since they couldn't
// authenticate each other.
func (r *reader) checkTLS() {
	if len(r.settings.Peers) > 1 && !r.tls.IsPresent() {
		r.root.Reject("TLS is missing; instances with peers need Authority, Certificate and Key (see chervilvane certs)")
	}
}
