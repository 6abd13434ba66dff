package runner

import (
	"context"
	"path/filepath"

	"github.com/sirupsen/logrus"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/encoder"
	"github.com/chervilvane/chervilvane/instance"
	"github.com/chervilvane/chervilvane/loader"
	"github.com/chervilvane/chervilvane/proposer"
	"github.com/chervilvane/chervilvane/recorder"
	"github.com/chervilvane/chervilvane/registrar"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// globalLog names the log that holds the registered state.
const globalLog replicator.LogID = "global"

// Methods of the log on the mesh.
const (
	methodMessage instance.Method = "log.message"
	methodFetch   instance.Method = "log.fetch"
)

// fetchTimeout bounds one request of a follower, over the wait that it asks
// for.
const fetchTimeout = 2 * clock.Second

// log is this instance's side of the replicated log: a node with a vote, or a
// follower.
type log struct {
	// node is nil on an instance without a vote, follower on one with it.
	node     *replicator.Node
	follower *replicator.Observer
	proposer *proposer.Proposer
	mesh     *instance.Mesh
	// voters is the number of voters of a new fleet.
	voters int
	parts  parts
}

func newLog(s loader.Settings, state *registrar.Registrar, mesh *instance.Mesh, clk clock.Clock, l logrus.FieldLogger) (*log, *proposer.Proposer, error) {
	lg := &log{mesh: mesh, voters: len(voters(s))}
	config := proposer.Config{Self: s.Instance, Voters: voters(s), Call: mesh}
	if s.DataFolder != "" {
		if err := lg.openNode(s, state, clk, l); err != nil {
			return nil, nil, err
		}
		config.Local = lg.node
	}
	lg.proposer = proposer.New(config)
	if lg.node == nil {
		lg.openFollower(state, clk, l)
	}
	return lg, lg.proposer, nil
}

func voters(s loader.Settings) []unit.Instance {
	var found []unit.Instance
	for _, p := range s.Peers {
		if p.Voter {
			found = append(found, p.Instance)
		}
	}
	return found
}

func (lg *log) openNode(s loader.Settings, state *registrar.Registrar, clk clock.Clock, l logrus.FieldLogger) error {
	folder := filepath.Join(s.DataFolder, string(globalLog))
	storage, err := recorder.Open(folder, recorder.OSFS{}, recorder.Options{})
	if err != nil {
		return err
	}
	lg.node, err = replicator.New(replicator.Config{
		ID: s.Instance, Incarnation: storage.Incarnation(), LogID: globalLog, InitialVoters: voters(s),
		Storage: storage, Transport: lg, StateMachine: state, Clock: clk,
		HeartbeatInterval: s.Timing.Heartbeat, ElectionTimeout: s.Timing.Election,
		RandSeed: uint64(clk.Now()), Logger: l,
	})
	lg.parts = parts{{"log", func(ctx context.Context) error {
		defer storage.Close()
		return lg.node.Run(ctx)
	}}}
	return err
}

func (lg *log) openFollower(state *registrar.Registrar, clk clock.Clock, l logrus.FieldLogger) {
	lg.follower = replicator.NewObserver(replicator.ObserverConfig{Fetch: lg.fetch, StateMachine: state, Clock: clk, Logger: l})
	lg.parts = parts{{"follower", lg.follower.Run}}
}

// Send implements replicator.Transport.
func (lg *log) Send(to unit.Instance, message []byte) {
	lg.mesh.Send(to, methodMessage, message)
}

// register serves the log's methods on the mesh.
func (lg *log) register(mesh *instance.Mesh) {
	mesh.Handle(methodMessage, func(_ context.Context, from unit.Instance, body []byte) ([]byte, error) {
		if lg.node != nil {
			lg.node.Step(from, body)
		}
		return nil, nil
	})
	mesh.Handle(methodFetch, lg.serveFetch)
}

// fetchReply answers a follower on the mesh.
type fetchReply struct {
	NotLeader bool
	Leader    unit.Instance
	Batch     replicator.FetchResponse
}

func (lg *log) serveFetch(ctx context.Context, _ unit.Instance, body []byte) ([]byte, error) {
	var r replicator.FetchRequest
	if err := encoder.Unmarshal(body, &r); err != nil {
		return nil, err
	}
	if lg.node == nil {
		return encoder.Marshal(fetchReply{NotLeader: true, Leader: lg.proposer.Leader()}), nil
	}
	batch, err := lg.node.Fetch(ctx, r)
	if err != nil {
		return encoder.Marshal(fetchReply{NotLeader: true, Leader: lg.node.Leader()}), nil
	}
	return encoder.Marshal(fetchReply{Batch: batch}), nil
}

// fetch asks the voter that is believed to lead for what was committed.
func (lg *log) fetch(ctx context.Context, r replicator.FetchRequest) (replicator.FetchResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, (r.Wait + fetchTimeout).Duration())
	defer cancel()
	to := lg.proposer.NextVoter()
	body, err := lg.mesh.Call(ctx, to, methodFetch, encoder.Marshal(r))
	if err != nil {
		lg.proposer.ClearLeaderHint(to)
		return replicator.FetchResponse{}, err
	}
	var reply fetchReply
	if err := encoder.Unmarshal(body, &reply); err != nil {
		return replicator.FetchResponse{}, err
	}
	if reply.NotLeader {
		lg.proposer.ClearLeaderHint(to)
		lg.proposer.SetLeaderHint(reply.Leader)
		return replicator.FetchResponse{}, &replicator.NotLeaderError{Leader: reply.Leader}
	}
	lg.proposer.SetLeaderHint(to)
	return reply.Batch, nil
}

// freshAt returns the moment up to which this instance's copy is known to be
// complete.
func (lg *log) freshAt() clock.Millis {
	if lg.node != nil {
		return lg.node.FreshAt()
	}
	return lg.follower.FreshAt()
}

// lead reports since when this instance leads the log under a valid lease.
func (lg *log) lead() (clock.Millis, bool) {
	if lg.node == nil {
		return 0, false
	}
	_, since, ok := lg.node.Leadership()
	return since, ok
}

// transfer gives the log's leadership to another voter, if this one has it.
func (lg *log) transfer(ctx context.Context) error {
	if _, leads := lg.lead(); !leads || lg.voters < 2 {
		return nil
	}
	return lg.node.TransferLeadership(ctx)
}
