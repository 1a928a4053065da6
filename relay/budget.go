package relay

import "sync"

const (
	// ratioMargin is the part of the allowed ratio of repeats that a host spends, and slackMargin the part
	// of the slack that all hosts share.
	ratioMargin = 0.93
	slackMargin = 0.75
	// leastBurst is the number of repeats that a host may always save up.
	leastBurst = 2
)

// Budget bounds the repeats of requests to each service. Each request earns a part of a repeat, so that
// the hosts' sum stays within the bound of all without an exchange.
type Budget struct {
	lock  sync.Mutex
	ratio float64
	slack float64
	hosts int
	saved map[string]float64
}

// NewBudget returns a budget of ratio repeats for a request, and of slack more shared by all hosts.
func NewBudget(ratio, slack float64) *Budget {
	return &Budget{ratio: ratio * ratioMargin, slack: slack * slackMargin, hosts: 1, saved: map[string]float64{}}
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
	s, ok := b.saved[service]
	if !ok {
		s = leastBurst
	}
	b.saved[service] = min(b.burst(), s+b.ratio)
}

func (b *Budget) burst() float64 { return max(leastBurst, b.slack/float64(b.hosts)) }

// Take spends a repeat; keep is how many have to stay saved up for more important ones.
func (b *Budget) Take(service string, keep float64) bool {
	b.lock.Lock()
	defer b.lock.Unlock()
	if b.saved[service] < 1+keep {
		return false
	}
	b.saved[service]--
	return true
}
