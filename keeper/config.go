package keeper

import (
	"slices"
	"strings"

	"github.com/chervilvane/chervilvane/clock"
	"github.com/chervilvane/chervilvane/unit"
)

// Config is the operator's configuration of a domain.
type Config struct {
	_       struct{} `cbor:",toarray"`
	Version int64
	// Document is the text that the operator sent; it is returned unchanged.
	Document   []byte
	Queues     []QueueRoute
	Services   []Service
	Accounts   []Account
	HTTPLimits HTTPLimits
}

// QueueRoute assigns requests to a queue by host and path prefix.
type QueueRoute struct {
	_          struct{} `cbor:",toarray"`
	Host       string
	PathPrefix string
	// Public is true if requests need no API key.
	Public bool
	Queue  Queue
}

// Service is a pool of upstreams.
type Service struct {
	_    struct{} `cbor:",toarray"`
	Name string
	// AdmissionCheck is true if the upstreams themselves refuse tasks that don't fit.
	AdmissionCheck bool
	// Standby is true if the machines of the upstreams are switched off.
	Standby bool
}

// Account is a client account with its API keys and limits.
type Account struct {
	_        struct{} `cbor:",toarray"`
	Name     unit.ClientAccount
	Keys     []string
	Priority int
	// Weight is the account's weight in the fair share, which counts when capacity is
	// scarce.
	Weight float64
	// Quota bounds the resources of the account's live runs; 0 in a dimension means no
	// bound.
	Quota unit.Resources
}

// HTTPLimits are the limits of the HTTP API for clients.
type HTTPLimits struct {
	_                 struct{} `cbor:",toarray"`
	MaxHeaderBytes    int
	MaxBodyBytes      int
	ReadHeaderTimeout clock.Millis
	IdleTimeout       clock.Millis
}

// Route returns the queue of a request: the one of the host with the longest
// matching path prefix. It reports false if none matches.
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

// AccountByKey returns the account that an API key belongs to; an empty key belongs
// to none.
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

// HasService reports whether there is a service with this name.
func (c *Config) HasService(name string) bool {
	return slices.ContainsFunc(c.Services, func(s Service) bool { return s.Name == name })
}

// QueueByName returns the current configuration of a queue.
func (c *Config) QueueByName(name unit.Queue) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Queue.Name == name {
			return &c.Queues[i].Queue, true
		}
	}
	return nil, false
}
