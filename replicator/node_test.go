package replicator_test

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"sync"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"
	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/recorder"
	"github.com/chervilvane/chervilvane/replicator"
	"github.com/chervilvane/chervilvane/unit"
)

// sum is a StateMachine that adds up numbers. The result of a command is the sum so
// far.
type sum struct {
	mu    sync.Mutex
	total uint64
	count uint64
}

func (s *sum) Apply(_ replicator.Index, command []byte) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total += binary.BigEndian.Uint64(command)
	s.count++
	return binary.BigEndian.AppendUint64(nil, s.total)
}

func (s *sum) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.total), s.count)
}

func (s *sum) Restore(snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.total, s.count = binary.BigEndian.Uint64(snapshot), binary.BigEndian.Uint64(snapshot[8:])
	return nil
}

func (s *sum) get() (total, count uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.total, s.count
}

func number(n uint64) []byte { return binary.BigEndian.AppendUint64(nil, n) }

// network delivers messages between the nodes of a test.
type network struct {
	mu    sync.Mutex
	nodes map[unit.Instance]*replicator.Node
}

type port struct {
	net  *network
	from unit.Instance
}

func (p port) Send(to unit.Instance, message []byte) {
	p.net.mu.Lock()
	n := p.net.nodes[to]
	p.net.mu.Unlock()
	if n != nil {
		n.Step(p.from, message)
	}
}

// voter is a running Node and its storage.
type voter struct {
	node     *replicator.Node
	machine  *sum
	recorder *recorder.Recorder
	cancel   context.CancelFunc
	group    *errgroup.Group
}

func discardLogger() logrus.FieldLogger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

func (net *network) start(tb testing.TB, id unit.Instance, dir string, initialVoters []unit.Instance) *voter {
	tb.Helper()
	rec, err := recorder.Open(dir, recorder.OSFS{}, recorder.Options{})
	if err != nil {
		tb.Fatal(err)
	}
	v := &voter{machine: &sum{}, recorder: rec}
	v.node, err = replicator.New(replicator.Config{
		ID: id, Incarnation: rec.Incarnation(), LogID: "test", InitialVoters: initialVoters,
		Storage: rec, Transport: port{net, id}, StateMachine: v.machine,
		HeartbeatInterval: 20, ElectionTimeout: 200, SnapshotEvery: 50, RandSeed: 1, Logger: discardLogger(),
	})
	if err != nil {
		tb.Fatal(err)
	}
	net.mu.Lock()
	net.nodes[id] = v.node
	net.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	v.cancel, v.group = cancel, &errgroup.Group{}
	v.group.Go(func() error { return v.node.Run(ctx) })
	return v
}

func (v *voter) stop(tb testing.TB) {
	tb.Helper()
	v.cancel()
	if err := v.group.Wait(); err != nil {
		tb.Error(err)
	}
	if err := v.recorder.Close(); err != nil {
		tb.Error(err)
	}
}

// propose proposes the command to the voters in turn until one of them leads.
func propose(ctx context.Context, command []byte, voters ...*voter) ([]byte, error) {
	for i := 0; ; i++ {
		result, err := voters[i%len(voters)].node.Propose(ctx, command)
		if !errors.HasType(err, (*replicator.NotLeaderError)(nil)) || ctx.Err() != nil {
			return result, err
		}
		wait(ctx, 5)
	}
}

// wait waits for d between retries. No test result depends on its length.
func wait(ctx context.Context, d clock.Millis) {
	sub, cancel := context.WithTimeout(ctx, d.Duration())
	defer cancel()
	<-sub.Done()
}

func instanceIDs(n int) []unit.Instance {
	list := make([]unit.Instance, n)
	for i := range list {
		list[i] = unit.Instance(fmt.Sprintf("v%d", i))
	}
	return list
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), (30 * clock.Second).Duration())
	t.Cleanup(cancel)
	return ctx
}

// TestNodesApplySameLogAcrossRestarts checks that every voter applies every proposed
// command exactly once, also after restarts from its storage.
func TestNodesApplySameLogAcrossRestarts(t *testing.T) {
	for name, n := range map[string]int{"one voter": 1, "three voters": 3} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
			is := is.New(t)
			ctx := testContext(t)
			dirs := make([]string, n)
			for i := range dirs {
				dirs[i] = t.TempDir()
			}
			for run := range uint64(3) {
				net := &network{nodes: map[unit.Instance]*replicator.Node{}}
				voters := make([]*voter, n)
				for i, id := range instanceIDs(n) {
					voters[i] = net.start(t, id, dirs[i], instanceIDs(n))
				}
				for i := range uint64(60) {
					got, err := propose(ctx, number(1), voters...)
					is.NoErr(err)
					is.Equal(binary.BigEndian.Uint64(got), run*60+i+1)
				}
				for _, v := range voters {
					is.NoErr(v.node.Barrier(ctx))
					total, count := v.machine.get()
					is.Equal(total, (run+1)*60)
					is.Equal(count, (run+1)*60)
				}
				for _, v := range voters {
					v.stop(t)
				}
			}
		})
	}
}
