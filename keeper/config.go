package keeper

import (
	"strings"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Config is the operator's configuration of a domain.
type Config struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	// Document is what the operator sent, returned as it came.
	Document   []byte
	Queues     []QueueRoute
	Services   []Service
	Accounts   []Account
	HTTPLimits HTTPLimits
}

// QueueRoute says which requests belong to a queue.
type QueueRoute struct {
	_          struct{} `cbor:",toarray"`
	Host       string
	PathPrefix string
	// Public queues need no key.
	Public bool
	Queue  Queue
}

// Service is a pool of upstreams.
type Service struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// AdmissionCheck: the upstreams themselves refuse what doesn't fit.
	AdmissionCheck bool
	// Standby: the upstreams' machines are off.
	Standby bool
}

// Account is a client account with its keys and its limits.
type Account struct {
	_        struct{} `cbor:",toarray"`
	Name     unit.ClientAccount
	Keys     []string
	Priority int
	// Weight is the share when all is full.
	Weight float64
	// Quota bounds what runs at once; 0 in a dimension is no bound.
	Quota unit.Resources
}

// HTTPLimits are the limits of the HTTP interface for clients.
type HTTPLimits struct {
	_                 struct{} `cbor:",toarray"`
	MaxHeaderBytes    int
	MaxBodyBytes      int
	ReadHeaderTimeout clock.Millis
	IdleTimeout       clock.Millis
}

// Route returns the queue of a request: the longest prefix of the path under
// the host.
func (c *Config) Route(host, path string) (*QueueRoute, bool) {
	var best *QueueRoute
	for i := range c.Queues {
		q := &c.Queues[i]
		if q.Host != host || !strings.HasPrefix(path, q.PathPrefix) {
			continue
		}
		if best == nil || len(q.PathPrefix) > len(best.PathPrefix) {
			best = q
		}
	}
	return best, best != nil
}

// AccountByKey returns the account that holds a key.
func (c *Config) AccountByKey(key string) (*Account, bool) {
	if key == "" {
		return nil, false
	}
	for i := range c.Accounts {
		for _, k := range c.Accounts[i].Keys {
			if k == key {
				return &c.Accounts[i], true
			}
		}
	}
	return nil, false
}

// AccountByName returns an account by its name.
func (c *Config) AccountByName(name unit.ClientAccount) (*Account, bool) {
	for i := range c.Accounts {
		if c.Accounts[i].Name == name {
			return &c.Accounts[i], true
		}
	}
	return nil, false
}

// QueueByName returns a queue's present configuration.
func (c *Config) QueueByName(name unit.Queue) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Queue.Name == name {
			return &c.Queues[i].Queue, true
		}
	}
	return nil, false
}
