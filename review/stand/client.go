//go:build review

package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"
)

type resources struct {
	CPU   int `json:"Cpu"`
	MemMb int
	GPU   int `json:"Gpu"`
}

// step is a step of a job as clients send it.
type step struct {
	Count       int
	CPU         int    `json:"Cpu"`
	MemMb       int    `json:",omitempty"`
	EstimateMs  int    `json:",omitempty"`
	DependsOn   []int  `json:",omitempty"`
	LongRunning bool   `json:",omitempty"`
	Image       string `json:",omitempty"`
}

type job struct {
	Spec  string
	Steps []step
}

// The queue and the tenant of all cases.
const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
	service     = "huvo11a"
	// deadline is how long a client waits for an answer.
	deadline = 3 * time.Second
)

// configure sends a configuration with these keys of the tenant until it is
// acknowledged, as the operator does.
func (c *cluster) configure(keys ...string) error {
	c.mu.Lock()
	c.version += 3
	version := c.version
	c.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"Version": version,
		"Routes": []map[string]any{{
			"Name": "r-ihhacru", "Host": queueHost, "PathPrefix": queuePrefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 1000,
			"Priority": 1, "Service": service, "MaxAttempts": 3, "Stretch": 2.2, "Public": false,
		}},
		"Services": []map[string]any{{"Name": service, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Standby": false}},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []map[string]any{{"Name": "kaje80", "ApiKeys": keys, "Priority": 1, "Weight": 37, "Maximum": resources{}}},
	})
	if err != nil {
		return err
	}
	client := &http.Client{Timeout: time.Second}
	for i := range 100 {
		n := c.cores[(version/3+i)%len(c.cores)]
		r, err := http.NewRequest(http.MethodPut, "http://"+n.address(c.ports.control)+"/v1/config", bytes.NewReader(body))
		if err != nil {
			return err
		}
		answer, err := client.Do(r)
		if err == nil {
			answer.Body.Close()
			c.rec.printf("operator: configuration %d to %s: %d", version, n.name, answer.StatusCode)
			if answer.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(200 * time.Millisecond)
	}
	return errors.New("no configuration was acknowledged")
}

// nextFront returns the front that gets the next connection.
func (c *cluster) nextFront() *node {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	return c.fronts[c.next%len(c.fronts)]
}

// newID returns an id as clients choose it.
func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// call sends one call of a client with the tenant's last key.
func (c *cluster) call(method, id string, body []byte) (int, string) {
	return c.callAs(tenantKeys[len(tenantKeys)-1], method, id, body)
}

// callAs sends one call of a client with a key and returns the status and the body of
// the answer; the status is 0 if there was no answer.
func (c *cluster) callAs(key, method, id string, body []byte) (int, string) {
	f := c.nextFront()
	r, err := http.NewRequest(method, "http://"+f.address(c.ports.front)+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Api-Key", key)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	client := &http.Client{Timeout: deadline, Transport: &http.Transport{DisableKeepAlives: true}}
	answer, err := client.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		return 0, err.Error()
	}
	return answer.StatusCode, string(text)
}

// callUntil repeats a call until its status is final for a client, at most for the
// given time. It returns the last status.
func (c *cluster) callUntil(method, id string, body []byte, limit time.Duration) int {
	for end := time.Now().Add(limit); ; {
		status, text := c.call(method, id, body)
		c.rec.printf("client: %s %s (%d bytes): %d %.100q", method, id, len(body), status, text)
		if status >= 200 && status < 300 || status == http.StatusGone || status == http.StatusBadRequest || time.Now().After(end) {
			return status
		}
		time.Sleep(time.Duration(300+rand.N(200)) * time.Millisecond)
	}
}

// submit hands a job in and returns its id.
func (c *cluster) submit(j job, limit time.Duration) (string, error) {
	id := newID()
	body, err := json.Marshal(j)
	if err != nil {
		return "", err
	}
	if status := c.callUntil(http.MethodPost, id, body, limit); status != http.StatusOK {
		return id, fmt.Errorf("job %s wasn't accepted: status %d", id, status)
	}
	return id, nil
}
