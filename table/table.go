// Package table is the routing table of a deployment: routes, services, client accounts and the limits of
// callers. A table is an immutable value; a newer one replaces it whole.
package table

import (
	"strings"
	"time"
)

//go:generate go tool stringer -type=Kind -linecomment -output=enum_string.go

// Kind says how often a request of a route may run and how its answer is shaped.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce marks requests that run at most once for each attempt of a caller.
	AtMostOnce Kind = iota // once
	// Repeatable marks requests that may run more than once.
	Repeatable // repeatable
	// Stream marks answers that come as a series of events.
	Stream // stream
)

// Share is one of the services between which a route is split.
type Share struct {
	Service string
	// Weight is at least 0; a route's weights don't add up to 0.
	Weight float64
}

// Route sends the requests of a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, earns its full worth.
	Objective time.Duration
	// EventGapObjective is the longest pause between events that is still on time.
	EventGapObjective time.Duration
	// Priority is the rank of the route; 0 is the highest.
	Priority int
	// Attempts is the number of endpoints to which one request may be sent.
	Attempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Tiers are models from the smallest to the largest from which the host chooses; empty where the
	// caller names the model.
	Tiers  []string
	Shares []Share
}

// Idempotent reports whether a request of the route may be sent again after it may have run.
func (r Route) Idempotent() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// DrawService returns the service for a draw between 0 and 1.
func (r Route) DrawService(draw float64) string {
	var t float64
	for _, s := range r.Shares {
		t += s.Weight
	}
	for _, s := range r.Shares {
		draw -= s.Weight / t
		if draw < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Model is one that a service's engines hold.
type Model struct {
	Name string
	// Cost is for 1,000 generated tokens; read tokens count a quarter.
	Cost float64
}

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is what each endpoint accepts from all hosts together.
	MaxConnections int
	// Slots is how many requests an engine runs at once; 0 where the endpoints aren't engines.
	Slots int
	// KVCapacity is the number of tokens that an engine holds.
	KVCapacity int
	Models     []Model
}

// Limits bound what a caller may send and how long it may take.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account with its keys.
type Account struct {
	Name string
	Keys []string
	// Priority goes before the route's where Ranked is set.
	Priority    int
	HasPriority bool
}

// Table is a routing table. Its slices aren't changed after New.
type Table struct {
	// Version is compared with other tables' versions; the highest is in force.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account

	hosts    map[string][]int
	services map[string]int
	keys     map[string]int
}

// New returns a table with its indexes. It returns a Fault where the parts contradict each other.
func New(t Table) (Table, error) {
	t.hosts, t.services, t.keys = map[string][]int{}, map[string]int{}, map[string]int{}
	for i, s := range t.Services {
		if _, ok := t.services[s.Name]; ok {
			return t, &ValidationError{Subject: "service " + s.Name, Problem: "stands twice", Remedy: "give each service a name of its own"}
		}
		t.services[s.Name] = i
	}
	for i, r := range t.Routes {
		if err := t.checkRoute(r); err != nil {
			return t, err
		}
		t.hosts[r.Host] = append(t.hosts[r.Host], i)
	}
	for i, a := range t.Accounts {
		for _, k := range a.Keys {
			if o, ok := t.keys[k]; ok && o != i {
				return t, &ValidationError{Subject: "account " + a.Name, Problem: "shares a key with " + t.Accounts[o].Name, Remedy: "give each account keys of its own"}
			}
			t.keys[k] = i
		}
	}
	return t, nil
}

func (t Table) checkRoute(r Route) error {
	w := "route " + r.Name
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &ValidationError{Subject: w, Problem: "has no host or no whole prefix", Remedy: "write a host, and a prefix between slashes"}
	}
	if r.Timeout <= 0 {
		return &ValidationError{Subject: w, Problem: "has no timeout", Remedy: "give a timeout above 0"}
	}
	var s float64
	for _, h := range r.Shares {
		if _, ok := t.services[h.Service]; !ok {
			return &ValidationError{Subject: w, Problem: "names the unknown service " + h.Service, Remedy: "declare the service"}
		}
		if h.Weight < 0 {
			return &ValidationError{Subject: w, Problem: "has a negative weight", Remedy: "give weights of 0 or more"}
		}
		s += h.Weight
	}
	if s <= 0 {
		return &ValidationError{Subject: w, Problem: "has weights that add up to 0", Remedy: "name a service with a weight above 0"}
	}
	for _, i := range t.hosts[r.Host] {
		if t.Routes[i].Prefix == r.Prefix {
			return &ValidationError{Subject: w, Problem: "has the host and prefix of " + t.Routes[i].Name, Remedy: "remove one of the two"}
		}
	}
	return nil
}

// Route returns the route with the longest prefix of the path on the host.
func (t Table) Route(host, path string) (Route, bool) {
	b, ok := Route{}, false
	for _, i := range t.hosts[host] {
		r := t.Routes[i]
		if strings.HasPrefix(path, r.Prefix) && (!ok || len(r.Prefix) > len(b.Prefix)) {
			b, ok = r, true
		}
	}
	return b, ok
}

// Service returns a service by its name.
func (t Table) Service(name string) (Service, bool) {
	i, ok := t.services[name]
	if !ok {
		return Service{}, false
	}
	return t.Services[i], true
}

// Account returns the client account that holds a key.
func (t Table) Account(key string) (Account, bool) {
	i, ok := t.keys[key]
	if !ok {
		return Account{}, false
	}
	return t.Accounts[i], true
}
