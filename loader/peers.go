package loader

import (
	"github.com/chervilvane/chervilvane/decoder"
	"github.com/chervilvane/chervilvane/unit"
)

// MaxVoters bounds the voters of the log. More of them make each entry slower
// without surviving more faults than operators plan for.
const MaxVoters = 7

func (r *reader) readPeers(v decoder.Value) {
	r.peers = v
	v.List(func(v decoder.Value) {
		var p Peer
		address := func(into *string) func(decoder.Value) {
			return func(v decoder.Value) {
				*into = readAddress(v, peerAddress)
				rejectRepeated(r.addresses, v, *into)
			}
		}
		v.Object(decoder.Fields{
			"Instance": func(v decoder.Value) {
				p.Instance = unit.Instance(v.Name())
				rejectRepeated(r.instances, v, string(p.Instance))
			},
			"AvailabilityZone": func(v decoder.Value) { p.AvailabilityZone = unit.AvailabilityZone(v.Name()) },
			"Mesh":             address(&p.Mesh),
			"API":              address(&p.API),
			"Voter":            func(v decoder.Value) { p.Voter = v.Bool() },
		}, "Instance", "AvailabilityZone", "Mesh", "API")
		r.settings.Peers = append(r.settings.Peers, p)
	})
}

// checkSelf rejects peers that don't list this instance as it is.
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
			r.zone.Reject("Peers lists this instance in availability zone %s; both must be the same", p.AvailabilityZone)
		}
		if p.Voter && !r.dataFolder.IsPresent() {
			r.instance.Reject("the instance is a voter and so needs a DataFolder")
		}
		return
	}
	r.instance.Reject("Peers doesn't list %s; it must list every instance, this one included", s.Instance)
}

// checkVoters rejects numbers of voters that have no clear majority. An even
// number survives no more faults than the odd one below it.
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

// checkTLS rejects a fleet whose instances couldn't know one another.
func (r *reader) checkTLS() {
	if len(r.settings.Peers) > 1 && !r.tls.IsPresent() {
		r.root.Reject("TLS is missing; instances with peers need Authority, Certificate and Key (see chervilvane certs)")
	}
}
