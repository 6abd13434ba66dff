//go:build review

package main

import (
	"bytes"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// command is the one that deploy/system.toml gives for both roles.
var command = []string{"target/chervilvaned", "-platform"}

var zones = []string{"cr-central-a", "cr-central-b", "cr-central-c"}

// cluster is the system under test with the stand-ins around it.
type cluster struct {
	rec     *record
	plan    plan
	folder  string
	network string
	ports   ports
	cores   []*node
	fronts  []*node
	workers []*worker
	group   sync.WaitGroup
	done    chan struct{}

	mu      sync.Mutex
	version int
	// next is the front that the platform gives the next connection.
	next int
}

// ports are the same on all machines.
type ports struct{ front, ready, control, mesh int }

// node is a machine of the system with its process.
type node struct {
	c    *cluster
	name string
	zone string
	ip   string
	core bool

	mu        sync.Mutex
	process   *exec.Cmd
	exited    chan struct{}
	bootstrap bool
	stopped   bool
}

// newCluster chooses the addresses of a deployment with three core machines, three
// fronts and the plan's workers.
func newCluster(rec *record, p plan) (*cluster, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	pid := os.Getpid()
	c := &cluster{rec: rec, plan: p, folder: folder, network: fmt.Sprintf("127.%d.%d", 64+pid/250%150, 1+pid%250), done: make(chan struct{})}
	for i, zone := range zones {
		c.cores = append(c.cores, &node{c: c, name: fmt.Sprintf("core-%s-1", zone), zone: zone, ip: fmt.Sprintf("%s.%d", c.network, 10+i), core: true, bootstrap: true})
		c.fronts = append(c.fronts, &node{c: c, name: fmt.Sprintf("front-%s-1", zone), zone: zone, ip: fmt.Sprintf("%s.%d", c.network, 20+i), bootstrap: true})
	}
	for _, port := range []*int{&c.ports.front, &c.ports.ready, &c.ports.control, &c.ports.mesh} {
		if *port, err = c.freePort(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// freePort returns a port that is free on the addresses of all machines.
func (c *cluster) freePort() (int, error) {
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return 0, err
		}
		port := ln.Addr().(*net.TCPAddr).Port
		ln.Close()
		free := true
		for _, n := range c.nodes() {
			ln, err := net.Listen("tcp", n.address(port))
			if err != nil {
				free = false
				break
			}
			ln.Close()
		}
		if free {
			return port, nil
		}
	}
	return 0, errors.New("found no free port")
}

func (c *cluster) nodes() []*node { return append(append([]*node{}, c.cores...), c.fronts...) }

func (n *node) address(port int) string { return net.JoinHostPort(n.ip, fmt.Sprint(port)) }

// settings writes the settings file as the platform does at each start.
func (n *node) settings() (string, error) {
	c := n.c
	var b bytes.Buffer
	class, role, serves, listen, dataDir, diskMb, share := "front", "entry", "front", "", "null", 0, "0.4"
	listen = fmt.Sprintf("  Front: %q\n  Ready: %q\n", n.address(c.ports.front), n.address(c.ports.ready))
	if n.core {
		class, role, serves, diskMb, share = "core", "core", "control", 128, "0.8"
		listen = fmt.Sprintf("  Control: %q\n", n.address(c.ports.control))
		dataDir = fmt.Sprintf("%q", filepath.Join(c.folder, n.name))
	}
	fmt.Fprintf(&b, "NodeName: %q\nRole: %q\nMachineClass: %q\nServes:\n  - %q\nIp: %q\nZone: %q\nRegion: \"cr-central\"\nZones:\n", n.name, role, class, serves, n.ip, n.zone)
	for _, z := range zones {
		fmt.Fprintf(&b, "  %s: \"cr-central\"\n", z)
	}
	fmt.Fprintf(&b, "ListenAddrs:\n%sPortRange:\n  - %d\n  - %d\nSeeds:\n", listen, c.ports.mesh, c.ports.mesh+15)
	for _, seed := range c.cores {
		fmt.Fprintf(&b, "  - %q\n", seed.address(c.ports.control))
	}
	fmt.Fprintf(&b, "Bootstrap: %t\nCountsAsLoss: %t\nLimits:\n  CpuShare: %s\n  Cores: 1\n  MemoryMb: 284\n  MaxFds: 4100\n  LinkMbps: 1000.0\n  DiskMb: %d\nDataDir: %s\n", n.bootstrap, n.core, share, diskMb, dataDir)
	fmt.Fprint(&b, "Discovery: \"registry\"\nEntry: \"vip\"\nHeartbeatMs: 1500\nContracts: [\"base\", \"drain\", \"config\", \"cost\", \"recover\", \"sched\", \"tenants\", \"quota\"]\n")
	fmt.Fprint(&b, "FaultTolerance:\n  Machines: 1\n  Zones: 1\n  Regions: 0\nBounds:\n  SeedLagS: 3\n  ReuseAfterS: 2\n  ContactMs: 3000\n  AckMs: 4000\n  CatchUpS: 4\n  DrainMs: 2000\n  GraceS: 6\n  LossSlackMs: 200\n  ConfigMs: 2000\n  RollbackSlackMs: 250\n  MaxSkewMs: 5000\n  StrictRevoke: true\n  RevokeMs: 5000\n  QuotaWindowS: 5\n  QuotaBurst: 0.1\n  QuotaSlack: 20\n  RecoveryS: 12\n  MaxHoldMs: 6000\n  StopTimeoutMs: 200\n  GangTimeoutMs: 3000\n  cancel_ms: 3000\n  visible_ms: 3000\n  early_ms: 250\n  finish_s: 14\n  status_s: 120\n  RemoteFactor: 1.5\n  CheckpointS: 0.5\n  RestoreMs: 250\n  RequireFencing: false\n  LeaseMs: 3000\n  ThawMs: 300\n")
	fmt.Fprint(&b, "config_mode: \"highest\"\nOrders: \"dispatch\"\nAdvice: null\n")
	file := filepath.Join(c.folder, n.name+".yaml")
	return file, os.WriteFile(file, b.Bytes(), 0o600)
}

// start starts the process of a machine.
func (n *node) start() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	if n.core {
		if err := os.MkdirAll(filepath.Join(n.c.folder, n.name), 0o700); err != nil {
			return err
		}
	}
	file, err := n.settings()
	if err != nil {
		return err
	}
	n.bootstrap = false
	log, err := os.OpenFile(filepath.Join(n.c.folder, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	p := exec.Command(command[0], command[1:]...)
	p.Env = append(os.Environ(), "CHERVILVANE_NODE_FILE="+file, "GOMAXPROCS=2")
	p.Stdout, p.Stderr = log, log
	if err := p.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	n.process, n.exited, n.stopped = p, exited, false
	n.c.rec.printf("%s: started, process %d", n.name, p.Process.Pid)
	n.c.group.Go(func() {
		err := p.Wait()
		n.c.rec.printf("%s: process %d ended: %v", n.name, p.Process.Pid, err)
		close(exited)
	})
	return nil
}

// signal sends a signal to the process of a machine.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		n.c.rec.printf("%s: sending %s", n.name, s)
		_ = n.process.Process.Signal(s)
	}
}

// kill ends the process of a machine with SIGKILL and waits for its end.
func (n *node) kill() {
	n.signal(syscall.SIGKILL)
	n.mu.Lock()
	exited := n.exited
	n.mu.Unlock()
	if exited != nil {
		<-exited
	}
	n.mu.Lock()
	n.process = nil
	n.mu.Unlock()
}

// isRunning reports whether the process of a machine hasn't ended.
func (n *node) isRunning() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// setUp starts the machines, brings a configuration in force and starts the workers.
func (c *cluster) setUp() error {
	for _, n := range c.nodes() {
		if err := n.start(); err != nil {
			return err
		}
	}
	if err := c.configure(tenantKeys...); err != nil {
		return err
	}
	for i := range c.plan.workers {
		if err := c.addWorker(i); err != nil {
			return err
		}
	}
	for _, w := range c.workers {
		if !w.awaitAck(10 * time.Second) {
			return fmt.Errorf("no machine acknowledged the report of %s", w.id)
		}
	}
	for _, f := range c.fronts {
		if !c.awaitReady(f, 10*time.Second) {
			return fmt.Errorf("%s isn't ready", f.name)
		}
	}
	c.rec.printf("the system is set up")
	return nil
}

func (c *cluster) awaitReady(f *node, limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		answer, err := client.Get("http://" + f.address(c.ports.ready) + "/v1/ready")
		if err != nil {
			continue
		}
		answer.Body.Close()
		if answer.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// leader returns the core machine that logged the start of a session last.
func (c *cluster) leader() *node {
	var best *node
	var bestTerm int
	for _, n := range c.cores {
		data, err := os.ReadFile(filepath.Join(c.folder, n.name+".log"))
		if err != nil {
			continue
		}
		for line := range strings.Lines(string(data)) {
			if !strings.Contains(line, "leader session started") {
				continue
			}
			var term int
			if _, after, ok := strings.Cut(line, `"Term":`); ok {
				fmt.Sscanf(after, "%d", &term)
			}
			if term > bestTerm {
				best, bestTerm = n, term
			}
		}
	}
	return best
}

func (c *cluster) killAll() {
	for _, n := range c.nodes() {
		n.kill()
	}
}

// close ends everything that the case started.
func (c *cluster) close() {
	c.killAll()
	close(c.done)
	for _, w := range c.workers {
		w.close()
	}
	c.group.Wait()
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(c.folder)
	} else {
		c.rec.printf("kept the logs")
		fmt.Println(c.folder)
	}
}

// sleep waits for a time and records why.
func (c *cluster) sleep(d time.Duration, why string) {
	c.rec.printf("waiting %s: %s", d, why)
	time.Sleep(d)
}
