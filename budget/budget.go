package relay

import (
	"math"
	"sync"
	"time"
)

const (
	// Each request adds depositShare of the retries that the ratio allows for it to the balance. The balance may grow
	// up to windowShare of the retries that the ratio allows for the requests of a window, plus the share of the slack.
	depositShare = 0.76
	windowShare  = 0.22
	// slackShare is the part of the slack that is divided among the hosts.
	slackShare = 0.85
	// reserveShare is the part of the balance cap that WithdrawOptional leaves for retries after faults.
	reserveShare = 0.5
	// minBalanceCap is the least balance cap, in retries.
	minBalanceCap = 2
)

// RetryBudget bounds the retries of requests to each service. Each request adds a fraction of a retry to the balance
// of its service on its host, so that the sum over all hosts stays within the bound without an exchange between them.
// It is safe for concurrent use.
type RetryBudget struct {
	lock     sync.Mutex
	ratio    float64
	slack    float64
	window   time.Duration
	hosts    int
	services map[string]*serviceBudget
}

// serviceBudget is the retry budget of one service on this host.
type serviceBudget struct {
	// balance is the number of retries that may be made now.
	balance float64
	// requests is the number of requests in the last window, as an exponentially decayed count. updated is when it
	// was last decayed.
	requests float64
	updated  time.Time
}

// NewRetryBudget returns a budget that allows ratio retries for each request within a window, plus slack retries in
// each window that all hosts share. Windows below 1 s count as 1 s.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, window: max(window, time.Second), hosts: 1, services: map[string]*serviceBudget{}}
}

// SetHosts sets the number of hosts that share the slack, 1 at first.
func (b *RetryBudget) SetHosts(n int) {
	b.lock.Lock()
	defer b.lock.Unlock()
	b.hosts = max(1, n)
}

// Deposit counts a request to a service and adds its share of a retry to the balance.
func (b *RetryBudget) Deposit(service string) {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.serviceBudget(service)
	n := time.Now()
	a.requests = a.requests*math.Exp(-n.Sub(a.updated).Seconds()/b.window.Seconds()) + 1
	a.updated = n
	a.balance = min(b.balanceCap(a), a.balance+b.ratio*depositShare)
}

// serviceBudget returns the budget of a service. The caller holds the lock. A new budget starts with one retry above
// the reserve, so that WithdrawOptional succeeds on a host that has just started.
func (b *RetryBudget) serviceBudget(service string) *serviceBudget {
	a, ok := b.services[service]
	if !ok {
		a = &serviceBudget{updated: time.Now()}
		a.balance = 1 + reserveShare*b.balanceCap(a)
		b.services[service] = a
	}
	return a
}

// balanceCap returns the highest balance of a service, in retries.
func (b *RetryBudget) balanceCap(a *serviceBudget) float64 {
	return max(minBalanceCap, b.slack*slackShare/float64(b.hosts)+a.requests*b.ratio*windowShare)
}

// Withdraw takes one retry after a fault from the balance. It reports false if less than one is left.
func (b *RetryBudget) Withdraw(service string) bool { return b.withdraw(service, 0) }

// WithdrawOptional takes one retry that improves an answer but is not needed for one, such as an escalation. It
// reports false if the balance would fall below the reserve for retries after faults.
func (b *RetryBudget) WithdrawOptional(service string) bool { return b.withdraw(service, reserveShare) }

// withdraw takes one retry, unless the balance would fall below the balance cap times reserve.
func (b *RetryBudget) withdraw(service string, reserve float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	a := b.serviceBudget(service)
	if a.balance < 1+reserve*b.balanceCap(a) {
		return false
	}
	a.balance--
	return true
}
