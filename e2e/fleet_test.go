package e2e

import (
	"bytes"
	"context"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/chervilvane/chervilvane/authenticator"
	"github.com/chervilvane/chervilvane/certifier"
	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/logger"
	"github.com/chervilvane/chervilvane/unit"
	"github.com/chervilvane/chervilvane/worker"
)

// bounded is the longest that any condition may take on a busy machine. No
// test asserts how long something took.
const bounded = 60 * time.Second

// binaries is the folder of the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		folder, err := os.MkdirTemp("", "chervilvane-e2e-")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(folder)
		binaries = folder
		build := exec.Command("go", "build", "-o", folder, "../cmd/...")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "building the programs:", err)
			return 1
		}
		return m.Run()
	}())
}

// member is one instance of a fleet under test.
type member struct {
	id        string
	zone      string
	voter     bool
	api, mesh string
	folder    string
	process   *exec.Cmd
	log       *lockedBuffer
}

// lockedBuffer takes a process's log while the test may read it.
type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.String()
}

// fleet is a set of daemons and stand-in upstreams on loopback.
type fleet struct {
	t        *testing.T
	folder   string
	members  map[string]*member
	order    []string
	operator authenticator.Token
	group    errgroup.Group
	stop     context.CancelFunc
	ctx      context.Context
}

// newFleet starts a daemon for each name; the first letter is the availability
// zone, a trailing "*" makes it a voter.
func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir(), members: map[string]*member{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	var err error
	f.operator, err = authenticator.NewToken()
	f.must(err)
	for _, name := range names {
		id, voter := strings.CutSuffix(name, "*")
		f.members[id] = &member{
			id: id, zone: id[:1], voter: voter, api: freeTCP(t), mesh: freeUDP(t),
			folder: filepath.Join(f.folder, id), log: &lockedBuffer{},
		}
		f.order = append(f.order, id)
	}
	f.certify()
	t.Cleanup(f.close)
	for _, id := range f.order {
		f.start(id)
	}
	return f
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) certify() {
	authority, err := certifier.NewAuthority()
	f.must(err)
	var ids []unit.Instance
	for _, id := range f.order {
		ids = append(ids, unit.Instance(id))
	}
	f.must(authority.WriteFiles(filepath.Join(f.folder, "certs"), ids))
}

// settings writes the settings of an instance and returns their file.
func (f *fleet) settings(m *member) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Instance: %s\nAvailabilityZone: %s\nListen: {API: %q, Mesh: %q}\n", m.id, m.zone, m.api, m.mesh)
	if m.voter {
		fmt.Fprintf(&b, "DataFolder: %q\n", m.folder)
	}
	b.WriteString("Peers:\n")
	for _, id := range f.order {
		p := f.members[id]
		fmt.Fprintf(&b, "  - {Instance: %s, AvailabilityZone: %s, API: %q, Mesh: %q, Voter: %t}\n", p.id, p.zone, p.api, p.mesh, p.voter)
	}
	certs := filepath.Join(f.folder, "certs")
	fmt.Fprintf(&b, "TLS: {Authority: %q, Certificate: %q, Key: %q}\n",
		filepath.Join(certs, "ca.pem"), filepath.Join(certs, m.id+".pem"), filepath.Join(certs, m.id+"-key.pem"))
	fmt.Fprintf(&b, "Operators:\n  - {Name: ana, KeyHash: %s}\n", hex.EncodeToString(f.operator.Hash()))
	fmt.Fprintf(&b, "Trace: {File: %q}\n", f.traceFile(m.id))
	file := filepath.Join(f.folder, m.id+".yaml")
	f.must(os.WriteFile(file, []byte(b.String()), 0o600))
	return file
}

func (f *fleet) traceFile(id string) string { return filepath.Join(f.folder, id+"-spans.jsonl") }

// start starts an instance's daemon.
func (f *fleet) start(id string) {
	f.t.Helper()
	m := f.members[id]
	m.process = exec.Command(filepath.Join(binaries, "chervilvaned"), "-settings", f.settings(m))
	m.process.Stdout, m.process.Stderr = m.log, m.log
	f.must(m.process.Start())
}

// end sends a signal to an instance's daemon and waits for it to end.
func (f *fleet) end(id string, signal syscall.Signal) {
	m := f.members[id]
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(signal)
	_ = m.process.Wait()
	m.process = nil
}

func (f *fleet) close() {
	f.stop()
	for _, id := range f.order {
		if m := f.members[id]; m.process != nil {
			_ = m.process.Process.Signal(syscall.SIGCONT)
		}
		f.end(id, syscall.SIGKILL)
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", id, tail(f.members[id].log.String()))
		}
	}
	_ = f.group.Wait()
}

func tail(s string) string {
	const most = 4000
	return s[max(0, len(s)-most):]
}

// upstream runs a stand-in upstream in the test's process, which reports to
// the entries of its zone. run may be nil for an echo.
func (f *fleet) upstream(id, zone string, run func(ctx context.Context, data []byte) ([]byte, error)) {
	var entries []string
	for _, name := range f.order {
		if m := f.members[name]; m.zone == zone {
			entries = append(entries, m.api)
		}
	}
	w := worker.New(worker.Config{
		ID: unit.Upstream(id), AvailabilityZone: unit.AvailabilityZone(zone), Rack: "r1", ListenAddress: "127.0.0.1:0",
		EntryAddresses: entries, RunTask: run, Logger: logger.Discard(), DrainTimeout: 200 * clock.Millisecond,
		Capacity: unit.Resources{CPU: 32 * unit.Core, Memory: 128 * unit.Gigabyte, Slots: 8, Connections: 64},
	})
	f.group.Go(func() error { return w.Run(f.ctx) })
}

// cli runs the command line against an instance and returns what it printed.
func (f *fleet) cli(id string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(binaries, "chervilvane"), args...)
	cmd.Env = append(os.Environ(), "CHERVILVANE_ADDRESS="+f.members[id].api)
	if !strings.HasPrefix(args[0], "submit") {
		cmd.Env = append(cmd.Env, "CHERVILVANE_KEY="+f.operator.Plaintext())
	}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// eventually waits for a condition.
func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(bounded); !ok(); {
		if time.Now().After(end) {
			f.t.Fatalf("waited in vain for: %s", what)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// apply brings a text into force on all instances.
func (f *fleet) apply(id, text string) {
	f.t.Helper()
	file := filepath.Join(f.folder, "text.yaml")
	f.must(os.WriteFile(file, []byte(text), 0o600))
	f.eventually("apply", func() bool {
		out, err := f.cli(id, "apply", "-wait", file)
		if err != nil {
			f.t.Log("apply:", out)
		}
		return err == nil
	})
}

// status asks an instance for its state.
func (f *fleet) status(id string) (s struct {
	Version   int
	LogLeader string
	Zones     []struct {
		AvailabilityZone, Holder string
		Epoch                    int
	}
},
) {
	response, err := http.Get("http://" + f.members[id].api + "/v1/status")
	if err != nil {
		return s
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

// holder returns which instance schedules a zone, as seen by an instance.
func (f *fleet) holder(seenBy, zone string) string {
	for _, z := range f.status(seenBy).Zones {
		if z.AvailabilityZone == zone {
			return z.Holder
		}
	}
	return ""
}

// handedOut are the addresses that freeTCP returned: the kernel may give out a
// port again as soon as its listener is closed.
var handedOut sync.Map

func freeTCP(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if _, again := handedOut.LoadOrStore(address, true); !again {
			return address
		}
	}
}

func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}
