//go:build review

package main

import (
	"fmt"
	"net"
	"strings"
	"time"
)

// playDrain holds a heartbeat of a worker back on its way to one core machine, as a
// partition does. The worker then reports draining by another one, the leader is
// killed, and the heartbeat arrives. From drainMs after the acknowledgement the worker
// may get no new task.
func playDrain(c *cluster, trouble bool) (int, error) {
	const drainTime = 2 * time.Second
	// Work for all workers for the whole case.
	for range 10 {
		if _, err := c.submit(job{Spec: "work 200", Steps: []step{{Count: 600, CPU: 1000, MemMb: 64, EstimateMs: 200}}}, 10*time.Second); err != nil {
			return 0, err
		}
	}
	leader := c.leader()
	if leader == nil {
		return 0, fmt.Errorf("found no leader")
	}
	var cutOff, reached *node
	for _, n := range c.cores {
		switch {
		case n == leader:
		case cutOff == nil:
			cutOff = n
		default:
			reached = n
		}
	}
	w := c.workers[0]
	heal := make(chan struct{})
	if trouble {
		body, err := w.report("ready")
		if err != nil {
			return 0, err
		}
		c.rec.printf("%s: sends a heartbeat to %s; the link is cut", w.id, cutOff.name)
		c.group.Go(func() { c.deliverLate(cutOff, w, body, heal) })
	}
	w.setTarget(reached.address(c.ports.control))
	time.Sleep(1200 * time.Millisecond)
	w.drain()
	acked, err := w.awaitDrainAck(5 * time.Second)
	if err != nil {
		return 0, err
	}
	c.sleep(drainTime, "the worker drains")
	if trouble {
		w.awaitBeat()
		leader.kill()
		close(heal)
		c.group.Go(func() {
			time.Sleep(time.Second)
			_ = leader.start()
		})
	}
	c.sleep(5*time.Second, "the worker drains on")
	breaks := 0
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.history {
		if at := w.born.Add(time.Duration(r.startAt-1000) * time.Millisecond); at.After(acked.Add(drainTime)) {
			breaks++
			c.rec.printf("BROKEN: %s run %d started on %s %s after draining was acknowledged", r.task, r.run, w.id, at.Sub(acked).Round(time.Millisecond))
		}
	}
	return breaks, nil
}

// deliverLate sends a heartbeat once the cut is over.
func (c *cluster) deliverLate(to *node, w *worker, body []byte, heal <-chan struct{}) {
	select {
	case <-heal:
	case <-c.done:
		return
	}
	conn, err := net.Dial("tcp", to.address(c.ports.control))
	if err != nil {
		return
	}
	defer conn.Close()
	c.rec.printf("%s: the cut is over, and the heartbeat arrives at %s", w.id, to.name)
	fmt.Fprintf(conn, "PUT /v1/instances/%s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", w.id, len(body), body)
	_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	buf := make([]byte, 1024)
	n, _ := conn.Read(buf)
	line, _, _ := strings.Cut(string(buf[:n]), "\r\n")
	c.rec.printf("%s: answer to the late heartbeat: %s", w.id, line)
}
