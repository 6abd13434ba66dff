package planner_test

import (
	"testing"

	"github.com/chervilvane/chervilvane/keeper"
	"github.com/chervilvane/chervilvane/planner"
	"github.com/chervilvane/chervilvane/unit"
)

// FuzzHandle passes arbitrary requests, as they may arrive over the mesh, to a planner.
// None may make it panic.
func FuzzHandle(f *testing.F) {
	f.Add(planner.EncodeRequest(planner.Submit{Address: address(jobID), ID: jobID, Submission: newSubmission(100, 1)}))
	f.Add(planner.EncodeRequest(planner.ReportUpstream{Upstream: keeper.Upstream{ID: "a", Incarnation: 1, Service: service, Capacity: unit.Resources{CPU: 1}}, Clock: 1, Seq: 1}))
	f.Add(planner.EncodeRequest(planner.PutConfig{Config: config(1)}))
	f.Add(planner.EncodeRequest(planner.Heartbeat{From: "e", RequestsTickets: true}))
	f.Add(planner.EncodeRequest(planner.Evacuate{Zone: "z"}))
	f.Add(planner.EncodeRequest(planner.Evacuate{Zone: "z", Withdraw: true}))
	f.Add([]byte{0xda, 0, 1, 0x11, 0x70, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		r, err := planner.DecodeRequest(data)
		if err != nil {
			return
		}
		state := keeper.New()
		state.ApplyCommand(keeper.SetConfig{Config: config(0)})
		p := planner.New(planner.Config{FencingToken: 1, LeaderSince: 1, MaxLease: maxLease}, state)
		if heartbeat, ok := r.(planner.Heartbeat); ok {
			p.HandleHeartbeat(2, heartbeat)
		} else {
			p.HandleRequest(2, r, func(planner.Reply) {})
		}
		p.Tick(100)
	})
}
