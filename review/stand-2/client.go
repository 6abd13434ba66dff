//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// object is a JSON object.
type object map[string]any

// call sends one request on a connection of its own.
func call(ctx context.Context, method, url, key string, timeout time.Duration, body any) (int, string, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		data, err := json.Marshal(body)
		if err != nil {
			return 0, "", err
		}
		reader = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, "", err
	}
	r.Close = true
	r.Header.Set("Content-Type", "application/json")
	if key != "" {
		r.Host = routeHost
		r.Header.Set("X-Api-Key", key)
		r.Header.Set("Deadline-Ms", "3000")
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	return answer.StatusCode, string(text), err
}

// The configuration of all cases: one queue without advice, one service, one tenant.
const (
	routeHost   = "nony24.example"
	routePrefix = "/lohu930/"
	serviceName = "huvo11a"
	tenantKey   = "6x73d3zji9n73hh2b9wu"
)

func configuration(version int) object {
	return object{
		"Version": version,
		"Routes": []object{{
			"Name": "r-ihhacru", "Host": routeHost, "PathPrefix": routePrefix, "Kind": "unsafe", "TimeoutMs": 3000,
			"TargetLatencyMs": 1000, "Priority": 1, "Service": serviceName, "MaxAttempts": 3, "Stretch": 2.2, "Public": false,
		}},
		"Services": []object{{"Name": serviceName, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Standby": false}},
		"Limits":   object{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants":  []object{{"Name": "kaje80", "ApiKeys": []string{tenantKey}, "Priority": 1, "Weight": 37, "Maximum": object{"Cpu": 0, "MemMb": 0, "Gpu": 0}}},
	}
}

// putConfig sends a configuration until it is acknowledged.
func (c *cluster) putConfig(ctx context.Context, version int) error {
	for i := 0; ; i++ {
		m := c.cores[i%len(c.cores)]
		status, text, err := call(ctx, http.MethodPut, "http://"+address(m.ip, c.ports.control)+"/v1/config", "", time.Second, configuration(version))
		c.record.logf("PUT /v1/config version %d at %s: %d %s %v", version, m.name, status, text, err)
		if status == http.StatusOK {
			return nil
		}
		if err := sleep(ctx, 200*time.Millisecond); err != nil {
			return err
		}
	}
}

// submit hands a job in until it is accepted.
func (c *cluster) submit(ctx context.Context, id string, job object) error {
	for i := 0; ; i++ {
		m := c.fronts[i%len(c.fronts)]
		status, text, err := call(ctx, http.MethodPost, c.jobURL(m, id), tenantKey, 3*time.Second, job)
		c.record.logf("POST job %s at %s: %d %s %v", id, m.name, status, text, err)
		if status == http.StatusOK {
			return nil
		}
		if err := sleep(ctx, 300*time.Millisecond); err != nil {
			return err
		}
	}
}

// cancel cancels a job.
func (c *cluster) cancel(ctx context.Context, id string) error {
	for i := 0; ; i++ {
		m := c.fronts[i%len(c.fronts)]
		status, text, err := call(ctx, http.MethodDelete, c.jobURL(m, id), tenantKey, 3*time.Second, nil)
		c.record.logf("DELETE job %s at %s: %d %s %v", id, m.name, status, text, err)
		if status == http.StatusOK || status == http.StatusGone {
			return nil
		}
		if err := sleep(ctx, 300*time.Millisecond); err != nil {
			return err
		}
	}
}

// state asks a front machine for a job's state.
func (c *cluster) state(ctx context.Context, m *machine, id string) string {
	status, text, err := call(ctx, http.MethodGet, c.jobURL(m, id), tenantKey, 3*time.Second, nil)
	var answer struct{ State string }
	if err != nil || status != http.StatusOK || json.Unmarshal([]byte(text), &answer) != nil {
		return fmt.Sprintf("no state: %d %s %v", status, text, err)
	}
	return answer.State
}

// pending asks a front machine how many jobs of the queue wait.
func (c *cluster) pending(ctx context.Context, m *machine) (int, error) {
	status, text, err := call(ctx, http.MethodGet, c.jobURL(m, ""), tenantKey, 3*time.Second, nil)
	c.record.logf("GET %s at %s: %d %s %v", routePrefix, m.name, status, text, err)
	if err != nil {
		return 0, err
	}
	var answer struct{ Pending *int }
	if err := json.Unmarshal([]byte(text), &answer); err != nil {
		return 0, err
	}
	if status != http.StatusOK || answer.Pending == nil {
		return 0, fmt.Errorf("status %d: %s", status, text)
	}
	return *answer.Pending, nil
}

func (c *cluster) jobURL(m *machine, id string) string {
	return "http://" + address(m.ip, c.ports.front) + routePrefix + id
}
