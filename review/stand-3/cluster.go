//go:build review

package main

import (
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

// Ports of the daemons. Each daemon has a loopback address of its own.
const (
	portFront   = 18183
	portReady   = 18184
	portControl = 18180
	portMesh    = 17420
)

// graceTime is the time from SIGTERM to SIGKILL.
const graceTime = 6 * time.Second

// zoneNames are the availability zones; each has one core daemon.
var zoneNames = []string{"fortaleza", "recife", "natal", "caruaru"}

// cluster is the system under test.
type cluster struct {
	stage   *stage
	program string
	network string
	cores   []*daemon
	fronts  []*daemon
}

// daemon is one process of the system.
type daemon struct {
	cluster        *cluster
	name, zone, ip string
	core           bool
	command        *exec.Cmd
	log            *os.File
}

// newCluster starts four core and two front daemons on free loopback addresses.
func newCluster(s *stage, program string) (*cluster, error) {
	path, err := filepath.Abs(program)
	if err != nil {
		return nil, err
	}
	c := &cluster{stage: s, program: path, network: fmt.Sprintf("127.%d.%d", 20+rand.IntN(200), 1+rand.IntN(250))}
	for i, z := range zoneNames {
		c.cores = append(c.cores, &daemon{cluster: c, name: "core-" + z, zone: z, ip: fmt.Sprintf("%s.%d", c.network, 10+i), core: true})
	}
	for i := range 2 {
		c.fronts = append(c.fronts, &daemon{cluster: c, name: fmt.Sprintf("front-%d", i), zone: zoneNames[i], ip: fmt.Sprintf("%s.%d", c.network, 20+i)})
	}
	for _, d := range c.all() {
		for _, port := range []int{portFront, portReady, portControl, portMesh} {
			ln, err := net.Listen("tcp", d.address(port))
			if err != nil {
				return nil, err
			}
			_ = ln.Close()
		}
	}
	for _, d := range c.all() {
		if err := d.start(true); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

func (c *cluster) all() []*daemon { return append(append([]*daemon{}, c.cores...), c.fronts...) }

func (d *daemon) address(port int) string { return net.JoinHostPort(d.ip, fmt.Sprint(port)) }

// settings writes the settings file, with the values of mandacaru-ops.
func (d *daemon) settings(bootstrap bool) (string, error) {
	var b strings.Builder
	class, serves := "front", "front"
	if d.core {
		class, serves = "core", "control"
	}
	fmt.Fprintf(&b, "NodeName: %q\nRole: %q\nMachineClass: %q\nServes: [%q]\nIp: %q\nZone: %q\nRegion: \"nordeste\"\nZones:\n", d.name, class, class, serves, d.ip, d.zone)
	for _, z := range zoneNames {
		fmt.Fprintf(&b, "  %s: \"nordeste\"\n", z)
	}
	if d.core {
		data := filepath.Join(d.cluster.stage.folder, d.name)
		if err := os.MkdirAll(data, 0o700); err != nil {
			return "", err
		}
		fmt.Fprintf(&b, "ListenAddrs: {Control: %q}\nDataDir: %q\n", d.address(portControl), data)
	} else {
		fmt.Fprintf(&b, "ListenAddrs: {Front: %q, Ready: %q}\nDataDir: null\n", d.address(portFront), d.address(portReady))
	}
	fmt.Fprintf(&b, "PortRange: [%d, %d]\nSeeds:\n", portMesh, portMesh+15)
	for _, c := range d.cluster.cores[:3] {
		fmt.Fprintf(&b, "  - %q\n", c.address(portControl))
	}
	fmt.Fprintf(&b, "Bootstrap: %t\nCountsAsLoss: %t\n", bootstrap, d.core)
	b.WriteString(`Limits: {CpuShare: 0.8, Cores: 1, MemoryMb: 280, MaxFds: 4096, LinkMbps: 1000.0, DiskMb: 128}
Discovery: "registry"
Entry: "vip"
HeartbeatMs: 1500
Contracts: ["base", "drain", "config", "cost", "recover", "sched", "tenants", "quota"]
FaultTolerance: {Machines: 1, Zones: 1, Regions: 0}
Bounds:
  SeedLagS: 3
  ReuseAfterS: 2
  ContactMs: 3000
  AckMs: 4000
  CatchUpS: 4
  DrainMs: 2000
  GraceS: 6
  LossSlackMs: 200
  ConfigMs: 2000
  RollbackSlackMs: 250
  MaxSkewMs: 5000
  StrictRevoke: true
  RevokeMs: 5000
  QuotaWindowS: 5
  QuotaBurst: 0.1
  QuotaSlack: 20
  RecoveryS: 12
  MaxHoldMs: 10000
  StopTimeoutMs: 200
  GangTimeoutMs: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  RemoteFactor: 2
  CheckpointS: 1
  RestoreMs: 600
  NoticeMs: 4500
  MoveS: 1.5
  MaintenanceS: 2
  RequireFencing: false
  LeaseMs: 3000
  ThawMs: 300
  PaceMs: 100
  HarmMs: 4000
config_mode: "highest"
Orders: "dispatch"
`)
	file := filepath.Join(d.cluster.stage.folder, d.name+".yaml")
	return file, os.WriteFile(file, []byte(b.String()), 0o600)
}

// start starts the process with the command of the deploy file.
func (d *daemon) start(bootstrap bool) error {
	file, err := d.settings(bootstrap)
	if err != nil {
		return err
	}
	if d.log, err = os.OpenFile(filepath.Join(d.cluster.stage.folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	d.command = exec.Command(d.cluster.program, "-platform")
	d.command.Env = []string{"CHERVILVANE_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	d.command.Stdout, d.command.Stderr = d.log, d.log
	return d.command.Start()
}

// terminate sends SIGTERM and waits for the end of the process; after the platform's grace time
// it kills it.
func (d *daemon) terminate() {
	_ = d.command.Process.Signal(syscall.SIGTERM)
	force := time.AfterFunc(graceTime, func() { _ = d.command.Process.Kill() })
	_ = d.command.Wait()
	force.Stop()
	_ = d.log.Close()
	d.command = nil
}

// wipe empties the disk of the daemon, which must not run.
func (d *daemon) wipe() error {
	return os.RemoveAll(filepath.Join(d.cluster.stage.folder, d.name))
}

// addCore starts a further core daemon, with an empty disk and an address of its own.
func (c *cluster) addCore(zone string) (*daemon, error) {
	d := &daemon{cluster: c, name: "core-" + zone + "-2", zone: zone, ip: fmt.Sprintf("%s.%d", c.network, 10+len(c.cores)), core: true}
	c.cores = append(c.cores, d)
	return d, d.start(false)
}

// kill ends the process.
func (d *daemon) kill() {
	if d.command == nil || d.command.Process == nil {
		return
	}
	_ = d.command.Process.Signal(syscall.SIGCONT)
	_ = d.command.Process.Kill()
	_ = d.command.Wait()
	_ = d.log.Close()
	d.command = nil
}

func (c *cluster) close() {
	if keep := os.Getenv("STAND_LOGS"); keep != "" {
		for _, d := range c.all() {
			if data, err := os.ReadFile(filepath.Join(c.stage.folder, d.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, d.name+".log"), data, 0o600)
			}
		}
	}
	for _, d := range c.all() {
		d.kill()
	}
}
