package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// depositShare is the part of the allowed ratio of repeats that each request earns, and savedPart the part
	// that may be saved up for the requests of a window.
	depositShare = 0.76
	windowShare  = 0.22
	// slackShare is the part of the slack that the hosts share.
	slackShare = 0.85
	// reserveShare is the part of the most that can be saved up which is left for faults.
	reserveShare = 0.5
	// minMaxBalance is the number of repeats that a host may always save up.
	minMaxBalance = 2
)

// RetryBudget bounds the repeats of requests to each service. Each request earns a part of a repeat, so that
// the hosts' sum stays within the bound of all without an exchange.
type RetryBudget struct {
	lock     sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	hosts    int
	services map[string]*serviceBudget
}

// serviceBudget is a service's part of the budget.
type serviceBudget struct {
	balance float64
	// requests decays to the number of requests in a window; at is when it was last brought up to date.
	requests float64
	updated  time.Time
}

// NewRetryBudget returns a budget of ratio repeats for each request within a window, and of slack more in each
// window, shared by all hosts.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: max(window, time.Second), hosts: 1, services: map[string]*serviceBudget{}}
}

// SetHosts tells how many hosts share the slack.
func (b *RetryBudget) SetHosts(n int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.hosts = max(1, n)
}

// Deposit counts a request to a service.
func (b *RetryBudget) Deposit(service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.serviceBudget(service)
	n := time.Now()
	a.requests = a.requests*math.Exp(-n.Sub(a.updated).Seconds()/b.window.Seconds()) + 1
	a.updated = n
	a.balance = min(b.maxBalance(a), a.balance+b.ratio*depositShare)
}

func (b *RetryBudget) serviceBudget(service string) *serviceBudget {
	a, ok := b.services[service]
	if !ok {
		a = &serviceBudget{updated: time.Now()}
		a.balance = 1 + reserveShare*b.maxBalance(a)
		b.services[service] = a
	}
	return a
}

// maxBalance is the number of repeats that can be saved up.
func (b *RetryBudget) maxBalance(a *serviceBudget) float64 {
	return max(minMaxBalance, b.slack*slackShare/float64(b.hosts)+a.requests*b.ratio*windowShare)
}

// Withdraw spends a repeat after a fault.
func (b *RetryBudget) Withdraw(service string) bool { return b.withdraw(service, 0) }

// WithdrawOptional spends a repeat that could be done without; a part of those saved up is left for faults.
func (b *RetryBudget) WithdrawOptional(service string) bool { return b.withdraw(service, reserveShare) }

func (b *RetryBudget) withdraw(service string, reserve float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.serviceBudget(service)
	if a.balance < 1+reserve*b.maxBalance(a) {
		return false
	}
	a.balance--
	return true
}
