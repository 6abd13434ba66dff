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

// conditionTimeout bounds the wait for a condition. It is long enough for a busy
// machine; the tests check no durations.
const conditionTimeout = 60 * time.Second

// binaryFolder is the path of the folder that contains the built programs.
var binaryFolder string

func TestMain(m *testing.M) {
	os.Exit(func() int {
		folder, err := os.MkdirTemp("", "chervilvane-e2e-")
		if err != nil {
			panic(err)
		}
		defer os.RemoveAll(folder)
		binaryFolder = folder
		build := exec.Command("go", "build", "-o", folder, "../cmd/...")
		build.Stderr = os.Stderr
		if err := build.Run(); err != nil {
			fmt.Fprintln(os.Stderr, "building the programs:", err)
			return 1
		}
		return m.Run()
	}())
}

// testInstance is an instance of a fleet under test. Its process is nil while the
// daemon isn't running.
type testInstance struct {
	id        string
	zone      string
	voter     bool
	api, mesh string
	folder    string
	process   *exec.Cmd
	log       *lockedBuffer
}

// lockedBuffer is a buffer for the log of a process. The process and the test may
// use it at the same time.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.Write(p)
}

func (l *lockedBuffer) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.buf.String()
}

// fleet is a set of daemons and stand-in upstreams that listen on loopback.
type fleet struct {
	t           *testing.T
	folder      string
	instances   map[string]*testInstance
	instanceIDs []string
	operatorKey authenticator.Token
	group       errgroup.Group
	stop        context.CancelFunc
	ctx         context.Context
}

// newFleet starts a daemon for each name. The first letter of a name is the
// instance's availability zone; a trailing "*" makes the instance a voter.
func newFleet(t *testing.T, names ...string) *fleet {
	t.Helper()
	f := &fleet{t: t, folder: t.TempDir(), instances: map[string]*testInstance{}}
	f.ctx, f.stop = context.WithCancel(context.Background())
	var err error
	f.operatorKey, err = authenticator.NewToken()
	f.must(err)
	for _, name := range names {
		id, voter := strings.CutSuffix(name, "*")
		f.instances[id] = &testInstance{
			id: id, zone: id[:1], voter: voter, api: freeTCP(t), mesh: freeUDP(t),
			folder: filepath.Join(f.folder, id), log: &lockedBuffer{},
		}
		f.instanceIDs = append(f.instanceIDs, id)
	}
	f.writeCertificates()
	t.Cleanup(f.close)
	for _, id := range f.instanceIDs {
		f.startInstance(id)
	}
	return f
}

func (f *fleet) must(err error) {
	f.t.Helper()
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) writeCertificates() {
	authority, err := certifier.NewAuthority()
	f.must(err)
	var ids []unit.Instance
	for _, id := range f.instanceIDs {
		ids = append(ids, unit.Instance(id))
	}
	f.must(authority.WriteFiles(filepath.Join(f.folder, "certs"), ids))
}

// writeSettings writes the settings file of an instance and returns its path.
func (f *fleet) writeSettings(instance *testInstance) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Instance: %s\nAvailabilityZone: %s\nListen: {API: %q, Mesh: %q}\n", instance.id, instance.zone, instance.api, instance.mesh)
	if instance.voter {
		fmt.Fprintf(&b, "DataFolder: %q\n", instance.folder)
	}
	b.WriteString("Peers:\n")
	for _, id := range f.instanceIDs {
		peer := f.instances[id]
		fmt.Fprintf(&b, "  - {Instance: %s, AvailabilityZone: %s, API: %q, Mesh: %q, Voter: %t}\n", peer.id, peer.zone, peer.api, peer.mesh, peer.voter)
	}
	certs := filepath.Join(f.folder, "certs")
	fmt.Fprintf(&b, "TLS: {Authority: %q, Certificate: %q, Key: %q}\n",
		filepath.Join(certs, "ca.pem"), filepath.Join(certs, instance.id+".pem"), filepath.Join(certs, instance.id+"-key.pem"))
	fmt.Fprintf(&b, "Operators:\n  - {Name: ana, KeyHash: %s}\n", hex.EncodeToString(f.operatorKey.Hash()))
	fmt.Fprintf(&b, "Trace: {File: %q}\n", f.traceFile(instance.id))
	file := filepath.Join(f.folder, instance.id+".yaml")
	f.must(os.WriteFile(file, []byte(b.String()), 0o600))
	return file
}

func (f *fleet) traceFile(id string) string { return filepath.Join(f.folder, id+"-spans.jsonl") }

// startInstance starts the daemon of an instance.
func (f *fleet) startInstance(id string) {
	f.t.Helper()
	instance := f.instances[id]
	instance.process = exec.Command(filepath.Join(binaryFolder, "chervilvaned"), "-settings", f.writeSettings(instance))
	instance.process.Stdout, instance.process.Stderr = instance.log, instance.log
	f.must(instance.process.Start())
}

// signalAndWait sends a signal to the daemon of an instance, if it runs, and waits
// until the process ends.
func (f *fleet) signalAndWait(id string, signal syscall.Signal) {
	instance := f.instances[id]
	if instance.process == nil {
		return
	}
	_ = instance.process.Process.Signal(signal)
	_ = instance.process.Wait()
	instance.process = nil
}

func (f *fleet) close() {
	f.stop()
	for _, id := range f.instanceIDs {
		if instance := f.instances[id]; instance.process != nil {
			_ = instance.process.Process.Signal(syscall.SIGCONT)
		}
		f.signalAndWait(id, syscall.SIGKILL)
		if f.t.Failed() {
			f.t.Logf("log of %s:\n%s", id, lastBytes(f.instances[id].log.String()))
		}
	}
	_ = f.group.Wait()
}

// lastBytes returns the end of a log, short enough for a test's output.
func lastBytes(s string) string {
	const maxBytes = 4000
	return s[max(0, len(s)-maxBytes):]
}

// startUpstream starts a stand-in upstream in the test's process. It reports to
// the instances of its zone. If run is nil, tasks return their data.
func (f *fleet) startUpstream(id, zone string, run func(ctx context.Context, data []byte) ([]byte, error)) {
	var entries []string
	for _, name := range f.instanceIDs {
		if instance := f.instances[name]; instance.zone == zone {
			entries = append(entries, instance.api)
		}
	}
	w := worker.New(worker.Config{
		ID: unit.Upstream(id), AvailabilityZone: unit.AvailabilityZone(zone), Rack: "r1", ListenAddress: "127.0.0.1:0",
		EntryAddresses: entries, RunTask: run, Logger: logger.Discard(), DrainTimeout: 200 * clock.Millisecond,
		Capacity: unit.Resources{CPU: 32 * unit.Core, Memory: 128 * unit.Gigabyte, Slots: 8, Connections: 64},
	})
	f.group.Go(func() error { return w.Run(f.ctx) })
}

// runCLI runs the command-line program against an instance and returns its output.
// All commands but submit get the operator's key.
func (f *fleet) runCLI(id string, args ...string) (string, error) {
	cmd := exec.Command(filepath.Join(binaryFolder, "chervilvane"), args...)
	cmd.Env = append(os.Environ(), "CHERVILVANE_ADDRESS="+f.instances[id].api)
	if !strings.HasPrefix(args[0], "submit") {
		cmd.Env = append(cmd.Env, "CHERVILVANE_KEY="+f.operatorKey.Plaintext())
	}
	out, err := cmd.CombinedOutput()
	return string(out), err
}

// eventually waits until the condition is met. It fails the test after
// conditionTimeout.
func (f *fleet) eventually(description string, isMet func() bool) {
	f.t.Helper()
	for end := time.Now().Add(conditionTimeout); !isMet(); {
		if time.Now().After(end) {
			f.t.Fatalf("condition not met in time: %s", description)
		}
		<-time.After(50 * time.Millisecond)
	}
}

// apply applies an operator's text through an instance and waits until all
// instances use it.
func (f *fleet) apply(id, text string) {
	f.t.Helper()
	file := filepath.Join(f.folder, "text.yaml")
	f.must(os.WriteFile(file, []byte(text), 0o600))
	f.eventually("text applied on all instances", func() bool {
		out, err := f.runCLI(id, "apply", "-wait", file)
		if err != nil {
			f.t.Log("apply:", out)
		}
		return err == nil
	})
}

// status returns the status that an instance reports, or the zero status if the
// request fails.
func (f *fleet) status(id string) (s struct {
	Version   int
	LogLeader string
	Zones     []struct {
		AvailabilityZone, Holder string
		Epoch                    int
	}
},
) {
	response, err := http.Get("http://" + f.instances[id].api + "/v1/status")
	if err != nil {
		return s
	}
	defer response.Body.Close()
	_ = json.NewDecoder(response.Body).Decode(&s)
	return s
}

// zoneHolder returns the instance that holds the lease of a zone according to
// the status of instance id, or "" if none does.
func (f *fleet) zoneHolder(id, zone string) string {
	for _, z := range f.status(id).Zones {
		if z.AvailabilityZone == zone {
			return z.Holder
		}
	}
	return ""
}

// returnedAddresses is the set of addresses that freeTCP has returned. The kernel
// may assign a port again as soon as its listener is closed.
var returnedAddresses sync.Map

// freeTCP returns a free TCP address on loopback that it hasn't returned before.
func freeTCP(t *testing.T) string {
	t.Helper()
	for {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		address := l.Addr().String()
		_ = l.Close()
		if _, returned := returnedAddresses.LoadOrStore(address, true); !returned {
			return address
		}
	}
}

// freeUDP returns a free UDP address on loopback.
func freeUDP(t *testing.T) string {
	t.Helper()
	c, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	return c.LocalAddr().String()
}
