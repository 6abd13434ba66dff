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

// globalLogID is the id of the log of the replicated state, and the name of its
// folder.
const globalLogID replicator.LogID = "global"

// Mesh methods of the log.
const (
	methodMessage instance.Method = "log.message"
	methodFetch   instance.Method = "log.fetch"
)

// fetchTimeout bounds one fetch of an observer, in addition to the wait that the
// request asks for.
const fetchTimeout = 2 * clock.Second

// logReplica is this instance's copy of the replicated log: a voting node or an
// observer.
type logReplica struct {
	// node is nil on an instance without a vote; observer is nil on a voter.
	node     *replicator.Node
	observer *replicator.Observer
	proposer *proposer.Proposer
	mesh     *instance.Mesh
	// voterCount is the number of voters in the settings.
	voterCount int
	components components
}

func newLog(s loader.Settings, state *registrar.Registrar, mesh *instance.Mesh, clk clock.Clock, l logrus.FieldLogger) (*logReplica, *proposer.Proposer, error) {
	lg := &logReplica{mesh: mesh, voterCount: len(voters(s))}
	config := proposer.Config{Self: s.Instance, Voters: voters(s), Call: mesh}
	if s.DataFolder != "" {
		if err := lg.newNode(s, state, clk, l); err != nil {
			return nil, nil, err
		}
		config.Local = lg.node
	}
	lg.proposer = proposer.New(config)
	if lg.node == nil {
		lg.newObserver(state, clk, l)
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

func (lg *logReplica) newNode(s loader.Settings, state *registrar.Registrar, clk clock.Clock, l logrus.FieldLogger) error {
	folder := filepath.Join(s.DataFolder, string(globalLogID))
	storage, err := recorder.Open(folder, recorder.OSFS{}, recorder.Options{})
	if err != nil {
		return err
	}
	lg.node, err = replicator.New(replicator.Config{
		ID: s.Instance, Incarnation: storage.Incarnation(), LogID: globalLogID, InitialVoters: voters(s),
		Storage: storage, Transport: lg, StateMachine: state, Clock: clk,
		HeartbeatInterval: s.Timing.Heartbeat, ElectionTimeout: s.Timing.Election,
		RandSeed: uint64(clk.Now()), Logger: l,
	})
	lg.components = components{{"log", func(ctx context.Context) error {
		defer storage.Close()
		return lg.node.Run(ctx)
	}}}
	return err
}

func (lg *logReplica) newObserver(state *registrar.Registrar, clk clock.Clock, l logrus.FieldLogger) {
	lg.observer = replicator.NewObserver(replicator.ObserverConfig{Fetch: lg.fetch, StateMachine: state, Clock: clk, Logger: l})
	lg.components = components{{"follower", lg.observer.Run}}
}

// Send implements replicator.Transport.
func (lg *logReplica) Send(to unit.Instance, message []byte) {
	lg.mesh.Send(to, methodMessage, message)
}

// register adds the handlers of the log's methods to the mesh.
func (lg *logReplica) register(mesh *instance.Mesh) {
	mesh.Handle(methodMessage, func(_ context.Context, from unit.Instance, body []byte) ([]byte, error) {
		if lg.node != nil {
			lg.node.Step(from, body)
		}
		return nil, nil
	})
	mesh.Handle(methodFetch, lg.serveFetch)
}

// fetchReply is the reply to an observer's fetch. If NotLeader is set, Leader is
// the known leader, empty if none, and Batch is unset.
type fetchReply struct {
	NotLeader bool
	Leader    unit.Instance
	Batch     replicator.FetchResponse
}

func (lg *logReplica) serveFetch(ctx context.Context, _ unit.Instance, body []byte) ([]byte, error) {
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

// fetch requests committed entries from the voter that is believed to be the
// leader. It returns a *replicator.NotLeaderError if that voter isn't.
func (lg *logReplica) fetch(ctx context.Context, r replicator.FetchRequest) (replicator.FetchResponse, error) {
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

// freshAt returns the time up to which this instance's copy is known to be
// complete.
func (lg *logReplica) freshAt() clock.Millis {
	if lg.node != nil {
		return lg.node.FreshAt()
	}
	return lg.observer.FreshAt()
}

// leaderSince reports whether this instance leads the log with a valid lease,
// and since when.
func (lg *logReplica) leaderSince() (clock.Millis, bool) {
	if lg.node == nil {
		return 0, false
	}
	_, since, ok := lg.node.Leadership()
	return since, ok
}

// transferLeadership transfers the log's leadership to another voter. It does
// nothing if this instance doesn't lead or is the only voter.
func (lg *logReplica) transferLeadership(ctx context.Context) error {
	if _, leads := lg.leaderSince(); !leads || lg.voterCount < 2 {
		return nil
	}
	return lg.node.TransferLeadership(ctx)
}
