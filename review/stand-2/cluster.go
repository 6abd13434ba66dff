//go:build review

package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// program is the daemon as the deploy file builds it.
const program = "target/chervilvaned"

// Ports, the same on all machines.
type ports struct{ front, ready, control, mesh int }

// machine is one process of the system with its settings.
type machine struct {
	name, class, zone, ip string
	settings              string
	dataDir               string
	log                   *os.File
	process               *exec.Cmd
}

// cluster is the system: one core machine and one front machine in each zone.
type cluster struct {
	record *record
	dir    string
	ports  ports
	zones  []string
	cores  []*machine
	fronts []*machine
}

// newCluster starts a system with the bounds of the site mandacaru-ops.
func newCluster(rec *record) (*cluster, error) {
	dir, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	c := &cluster{record: rec, dir: dir, zones: []string{"fortaleza", "recife", "natal", "caruaru"}}
	network := fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(200))
	for i, z := range c.zones {
		c.cores = append(c.cores, &machine{name: "core-" + z + "-1", class: "core", zone: z, ip: fmt.Sprintf("%s.%d", network, 10+i)})
		c.fronts = append(c.fronts, &machine{name: "front-" + z + "-1", class: "front", zone: z, ip: fmt.Sprintf("%s.%d", network, 50+i)})
	}
	if err := c.choosePorts(); err != nil {
		return nil, err
	}
	for _, m := range c.machines() {
		if err := c.prepare(m); err != nil {
			return nil, err
		}
	}
	for _, m := range c.machines() {
		if err := c.start(m, true); err != nil {
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) machines() []*machine { return append(append([]*machine{}, c.cores...), c.fronts...) }

// choosePorts finds ports that are free on all addresses.
func (c *cluster) choosePorts() error {
	for range 50 {
		base := 20000 + 10*rand.IntN(1000)
		p := ports{base, base + 1, base + 2, base + 3}
		if c.areFree(p) {
			c.ports = p
			return nil
		}
	}
	return fmt.Errorf("found no free ports")
}

func (c *cluster) areFree(p ports) bool {
	for _, m := range c.machines() {
		for _, port := range []int{p.front, p.ready, p.control, p.mesh} {
			l, err := net.Listen("tcp", address(m.ip, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

func address(ip string, port int) string { return net.JoinHostPort(ip, fmt.Sprint(port)) }

func (c *cluster) prepare(m *machine) error {
	m.settings = filepath.Join(c.dir, m.name+".yaml")
	if m.class == "core" {
		m.dataDir = filepath.Join(c.dir, m.name)
		if err := os.Mkdir(m.dataDir, 0o700); err != nil {
			return err
		}
	}
	var err error
	m.log, err = os.Create(filepath.Join(c.dir, m.name+".log"))
	return err
}

// writeSettings writes the settings file of a machine.
func (c *cluster) writeSettings(m *machine, bootstrap bool) error {
	var b strings.Builder
	line := func(format string, args ...any) { fmt.Fprintf(&b, format+"\n", args...) }
	line("NodeName: %q\nRole: %q\nMachineClass: %q\nIp: %q\nZone: %q\nRegion: \"nordeste\"", m.name, map[string]string{"front": "entry", "core": "core"}[m.class], m.class, m.ip, m.zone)
	line("Zones:")
	for _, z := range c.zones {
		line("  %s: \"nordeste\"", z)
	}
	line("ListenAddrs:")
	if m.class == "front" {
		line("  Front: %q\n  Ready: %q", address(m.ip, c.ports.front), address(m.ip, c.ports.ready))
		line("Serves:\n  - \"front\"\nCountsAsLoss: false")
	} else {
		line("  Control: %q", address(m.ip, c.ports.control))
		line("Serves:\n  - \"control\"\nCountsAsLoss: true\nDataDir: %q", m.dataDir)
	}
	line("PortRange:\n  - %d\n  - %d", c.ports.mesh, c.ports.mesh+6)
	line("Seeds:")
	for _, s := range c.cores[:3] {
		line("  - %q", address(s.ip, c.ports.control))
	}
	line("Bootstrap: %v", bootstrap)
	line("Limits:\n  CpuShare: 0.8\n  Cores: 1\n  MemoryMb: 284\n  MaxFds: 4096\n  LinkMbps: 1000.0\n  DiskMb: 128")
	line("Discovery: \"registry\"\nEntry: \"vip\"\nHeartbeatMs: 1500")
	line("Contracts:\n  - \"base\"\n  - \"drain\"\n  - \"config\"\n  - \"cost\"\n  - \"recover\"\n  - \"sched\"\n  - \"tenants\"\n  - \"quota\"\n  - \"advice\"")
	line("FaultTolerance:\n  Machines: 1\n  Zones: 1\n  Regions: 0")
	line("Bounds:")
	for _, bound := range []string{
		"ContactMs: 3000", "AckMs: 4000", "CatchUpS: 4", "DrainMs: 2000", "GraceS: 6", "LossSlackMs: 200", "ConfigMs: 2000",
		"RollbackSlackMs: 250", "MaxSkewMs: 5000", "StrictRevoke: true", "RevokeMs: 5000", "QuotaWindowS: 5", "QuotaBurst: 0.1",
		"QuotaSlack: 20", "RecoveryS: 12", "MaxHoldMs: 10000", "StopTimeoutMs: 200", "GangTimeoutMs: 3000", "cancel_ms: 3000",
		"visible_ms: 3000", "early_ms: 250", "finish_s: 14", "status_s: 120", "CheckpointS: 1", "RestoreMs: 600",
	} {
		line("  %s", bound)
	}
	line("config_mode: \"highest\"\nOrders: \"dispatch\"")
	return os.WriteFile(m.settings, []byte(b.String()), 0o600)
}

// start starts the process of a machine.
func (c *cluster) start(m *machine, bootstrap bool) error {
	if err := c.writeSettings(m, bootstrap); err != nil {
		return err
	}
	m.process = exec.Command(program, "-platform")
	m.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILVANE_NODE_FILE=" + m.settings}
	m.process.Stdout, m.process.Stderr = m.log, m.log
	m.process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := m.process.Start(); err != nil {
		return err
	}
	c.record.logf("started %s at %s, process %d", m.name, m.ip, m.process.Process.Pid)
	return nil
}

// stop ends all processes and removes the folder, unless KEEP is set.
func (c *cluster) stop() {
	for _, m := range c.machines() {
		if m.process == nil || m.process.Process == nil {
			continue
		}
		_ = m.process.Process.Kill()
		_ = m.process.Wait()
		_ = m.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(c.dir)
		return
	}
	c.record.logf("kept the logs of the processes")
	fmt.Fprintln(os.Stderr, c.dir)
}

// sleep waits, or returns the error of ctx if it ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
