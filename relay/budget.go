package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// ratioPart is the part of the allowed ratio of repeats that each request earns, and savedPart the part
	// that may be saved up for the requests of a window.
	ratioPart = 0.76
	savedPart = 0.22
	// slackPart is the part of the slack that the hosts share.
	slackPart = 0.85
	// sparePart is the part of the most that can be saved up which is left for faults.
	sparePart = 0.5
	// leastSaved is the number of repeats that a host may always save up.
	leastSaved = 2
)

// Budget bounds the repeats of requests to each service. Each request earns a part of a repeat, so that
// the hosts' sum stays within the bound of all without an exchange.
type Budget struct {
	lock     sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	hosts    int
	services map[string]*account
}

// account is a service's part of the budget.
type account struct {
	saved float64
	// requests decays to the number of requests in a window; at is when it was last brought up to date.
	requests float64
	at       time.Time
}

// NewBudget returns a budget of ratio repeats for each request within a window, and of slack more in each
// window, shared by all hosts.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: max(window, time.Second), hosts: 1, services: map[string]*account{}}
}

// SetHosts tells how many hosts share the slack.
func (b *Budget) SetHosts(n int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.hosts = max(1, n)
}

// Earn counts a request to a service.
func (b *Budget) Earn(service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.of(service)
	n := time.Now()
	a.requests = a.requests*math.Exp(-n.Sub(a.at).Seconds()/b.window.Seconds()) + 1
	a.at = n
	a.saved = min(b.most(a), a.saved+b.ratio*ratioPart)
}

func (b *Budget) of(service string) *account {
	a, ok := b.services[service]
	if !ok {
		a = &account{at: time.Now()}
		a.saved = 1 + sparePart*b.most(a)
		b.services[service] = a
	}
	return a
}

// most is the number of repeats that can be saved up.
func (b *Budget) most(a *account) float64 {
	return max(leastSaved, b.slack*slackPart/float64(b.hosts)+a.requests*b.ratio*savedPart)
}

// Take spends a repeat after a fault.
func (b *Budget) Take(service string) bool { return b.take(service, 0) }

// TakeSpare spends a repeat that could be done without; a part of those saved up is left for faults.
func (b *Budget) TakeSpare(service string) bool { return b.take(service, sparePart) }

func (b *Budget) take(service string, part float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.of(service)
	if a.saved < 1+part*b.most(a) {
		return false
	}
	a.saved--
	return true
}
