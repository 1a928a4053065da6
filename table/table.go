// Package table holds the routing table of a deployment: routes, services, client accounts and limits on callers. A
// Table is immutable and is replaced as a whole by a newer one.
package table

import (
	"slices"
	"strings"
	"time"
)

//go:generate go tool stringer -type=Kind -linecomment -output=enum_string.go

// Kind tells how often a request of a route may run, and whether its answer is a stream.
type Kind int

// Kinds of routes.
const (
	// AtMostOnce requests run at most once for each attempt of the caller.
	AtMostOnce Kind = iota // once
	// Repeatable requests may run more than once.
	Repeatable // repeatable
	// Stream requests are answered with a stream of events.
	Stream // stream
)

// Share is the share of a route's requests that goes to a service.
type Share struct {
	Service string
	// Weight is relative to the other weights of the route. It is at least 0, and the sum over a route is positive.
	Weight float64
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name string
	Host string
	// Prefix begins and ends with a slash.
	Prefix string
	Kind   Kind
	// Timeout is the longest time that a caller waits.
	Timeout time.Duration
	// Objective is the time within which an answer, or its first event, is in time and has its full value.
	Objective time.Duration
	// EventGapObjective is the longest gap between two events of a stream that still counts as in time.
	EventGapObjective time.Duration
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int
	// Attempts is the number of endpoints that a request may be sent to.
	Attempts int
	// Public routes need no API key.
	Public bool
	// Resumable streams may be continued by another endpoint.
	Resumable bool
	// Tiers are the names of the models to choose from, ordered from the smallest to the largest. It is empty if
	// the caller names the model.
	Tiers []string
	// Service is the service of all requests if Shares is empty. It is a service of the table in any case, or empty if there
	// are shares.
	Service string
	// Shares is never empty in a table that New returned.
	Shares []Share
}

// Idempotent reports whether a request of the route may be sent again after it may have run.
func (r Route) Idempotent() bool { return r.Kind == Repeatable || r.Kind == Stream && r.Resumable }

// DrawService returns the service for a random number from 0 to 1, according to the weights. One with the weight 0 is never returned.
func (r Route) DrawService(draw float64) string {
	var t float64
	for _, s := range r.Shares {
		t += s.Weight
	}
	var last string
	for _, s := range r.Shares {
		if s.Weight == 0 {
			continue
		}
		last = s.Service
		draw -= s.Weight / t
		if draw < 0 {
			break
		}
	}
	return last // also if rounding, or a sum beyond the range of a float, leaves a rest
}

// Model is a model that the endpoints of a service serve.
type Model struct {
	Name string
	// Cost is the cost of 1,000 generated tokens. Prompt tokens cost a quarter.
	Cost float64
}

// Service is a set of endpoints that answer the same requests.
type Service struct {
	Name       string
	HealthPath string
	// MaxConnections is the number of connections that each endpoint accepts from all hosts together.
	MaxConnections int
	// Slots is the number of requests that an inference engine runs at once, or 0 if the endpoints are not engines.
	Slots int
	// KVCapacity is the capacity of an engine's KV cache in tokens.
	KVCapacity int
	Models     []Model
	// ColdRate is the number of requests a second that an endpoint takes while it is cold after its start, or 0 for no limit. ColdTime
	// is how long that lasts if its reports don't say.
	ColdRate float64
	ColdTime time.Duration
}

// Limits restrict the size of requests and the time that callers take to send them.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Account is a client account with its API keys.
type Account struct {
	Name string
	Keys []string
	// Priority overrides the priority of the route if HasPriority is set.
	Priority    int
	HasPriority bool
}

// Table is a routing table. Its slices must not change after New.
type Table struct {
	// Version orders tables; the table with the highest version is in force.
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
	Accounts []Account

	hosts    map[string][]int
	services map[string]int
	keys     map[string]int
}

// place is what tells routes apart.
type place struct{ host, prefix string }

// New returns the table with its indexes. It returns a *ValidationError if the table is invalid.
func New(t Table) (Table, error) {
	t.hosts, t.services, t.keys = map[string][]int{}, map[string]int{}, map[string]int{}
	for i, s := range t.Services {
		if _, ok := t.services[s.Name]; ok {
			return t, &ValidationError{Subject: "service " + s.Name, Problem: "stands twice", Remedy: "give each service a name of its own"}
		}
		t.services[s.Name] = i
	}
	t.Routes = slices.Clone(t.Routes)
	known := map[place]string{}
	for i, r := range t.Routes {
		r = r.withShares()
		if err := t.checkRoute(r); err != nil {
			return t, err
		}
		w := place{r.Host, r.Prefix}
		if o, ok := known[w]; ok {
			return t, &ValidationError{Subject: "route " + r.Name, Problem: "has the host and prefix of " + o, Remedy: "remove one of the two"}
		}
		known[w] = r.Name
		t.Routes[i] = r
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

// withShares returns the route with a share of its service if it has no shares.
func (r Route) withShares() Route {
	if len(r.Shares) == 0 && r.Service != "" {
		r.Shares = []Share{{Service: r.Service, Weight: 1}}
	}
	return r
}

// checkRoute returns a *ValidationError if a route with its shares is invalid by itself.
func (t Table) checkRoute(r Route) error {
	w := "route " + r.Name
	if r.Host == "" || !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return &ValidationError{Subject: w, Problem: "has no host or no whole prefix", Remedy: "write a host, and a prefix between slashes"}
	}
	if r.Timeout <= 0 {
		return &ValidationError{Subject: w, Problem: "has no timeout", Remedy: "give a timeout above 0"}
	}
	return t.checkServices(r)
}

// checkServices returns a *ValidationError if a route names an unknown service, or its weights are invalid.
func (t Table) checkServices(r Route) error {
	w := "route " + r.Name
	if _, ok := t.services[r.Service]; !ok && r.Service != "" {
		return &ValidationError{Subject: w, Problem: "names the unknown service " + r.Service, Remedy: "declare the service"}
	}
	var s float64
	for _, h := range r.Shares {
		if _, ok := t.services[h.Service]; !ok {
			return &ValidationError{Subject: w, Problem: "gives a share to the unknown service " + h.Service, Remedy: "declare the service"}
		}
		if h.Weight < 0 {
			return &ValidationError{Subject: w, Problem: "has a negative weight", Remedy: "give weights of 0 or more"}
		}
		s += h.Weight
	}
	if s <= 0 {
		return &ValidationError{Subject: w, Problem: "has weights that add up to 0", Remedy: "name a service with a weight above 0"}
	}
	return nil
}

// Route returns the route of a host with the longest prefix of the path.
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

// Account returns the client account that owns a key. An empty key, as requests without one have, belongs to no account.
func (t Table) Account(key string) (Account, bool) {
	i, ok := t.keys[key]
	if !ok || key == "" {
		return Account{}, false
	}
	return t.Accounts[i], true
}
