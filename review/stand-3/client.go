//go:build review

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

const (
	serviceName = "prelo"
	queueHost   = "novo13.example"
	queuePrefix = "/volo102/"
	tenantKey   = "fcmeuwsag2ikyqi5jgud"
)

// call sends one call and returns the status and the body of the answer; 0 if there is none.
func (s *stage) call(method, address, host, path, key string, body any) (int, string) {
	ctx, cancel := context.WithTimeout(s.ctx, 3*time.Second)
	defer cancel()
	var data io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return 0, err.Error()
		}
		data = strings.NewReader(string(text))
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, data)
	if err != nil {
		return 0, err.Error()
	}
	r.Header.Set("Content-Type", "application/json")
	if host != "" {
		r.Host = host
		r.Header.Set("Deadline-Ms", "3000")
	}
	if key != "" {
		r.Header.Set("X-Api-Key", key)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, 1<<20))
	return answer.StatusCode, string(text)
}

// configuration returns the operator's configuration of a version: one queue of one tenant.
func configuration(version int) map[string]any {
	return map[string]any{
		"Version": version,
		"Routes": []any{map[string]any{
			"Name": "r-icv26bc", "Host": queueHost, "PathPrefix": queuePrefix, "Kind": "unsafe", "TimeoutMs": 3000, "TargetLatencyMs": 3000,
			"Priority": 0, "Service": serviceName, "MaxAttempts": 3, "Stretch": 2.0, "Public": false,
		}},
		"Services": []any{map[string]any{
			"Name": serviceName, "HealthPath": "/health", "MaxConns": 64, "Protocol": "h1", "Tls": false, "AdmissionCheck": false, "Standby": false,
		}},
		"Limits": map[string]int{"MaxHeaderBytes": 16384, "MaxBodyBytes": 262144, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{
			"Name": "goda142", "ApiKeys": []string{tenantKey}, "Priority": 1, "Weight": 37, "Maximum": map[string]int{"Cpu": 0, "MemMb": 0, "Gpu": 0},
		}},
	}
}

// putConfig has a configuration accepted, by any core daemon.
func (s *stage) putConfig(config map[string]any) error {
	var status int
	var text string
	ok := s.await(20*time.Second, func() bool {
		for _, d := range s.cluster.cores {
			if status, text = s.call(http.MethodPut, d.address(portControl), "", "/v1/config", "", config); status == http.StatusOK {
				s.record.add("operator: configuration %v acknowledged by %s", config["Version"], d.name)
				return true
			}
		}
		return false
	})
	if !ok {
		return fmt.Errorf("configuration %v isn't acknowledged: %d %s", config["Version"], status, text)
	}
	return nil
}

// submit hands a job in, through any front daemon.
func (s *stage) submit(id string, job map[string]any) error {
	var status int
	var text string
	ok := s.await(20*time.Second, func() bool {
		for _, d := range s.cluster.fronts {
			if status, text = s.call(http.MethodPost, d.address(portFront), queueHost, queuePrefix+id, tenantKey, job); status == http.StatusOK {
				s.record.add("client: job %s accepted by %s", id, d.name)
				return true
			}
		}
		return false
	})
	if !ok {
		return fmt.Errorf("job %s isn't accepted: %d %s", id, status, text)
	}
	return nil
}

// jobState returns the state of a job; empty if there is no answer with one.
func (s *stage) jobState(id string) string {
	for _, d := range s.cluster.fronts {
		status, text := s.call(http.MethodGet, d.address(portFront), queueHost, queuePrefix+id, tenantKey, nil)
		var a struct{ State string }
		if status == http.StatusOK && json.Unmarshal([]byte(text), &a) == nil {
			return a.State
		}
	}
	return ""
}
