package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/budget"
)

// Guards against starting balances and pieces of replies that come after the lease, twice or behind a newer one: the lender doesn't count them
// any more, or counts them once.
func TestLateRepliesGrantNothing(t *testing.T) {
	const lease = 4 * time.Second
	i := is.New(t)
	h := budget.NewHost(budget.Limits{Ratio: 0.9, Slack: 58, Window: window})
	h.Expect("s", 0)
	level := func(l budget.Loan, now time.Duration) float64 {
		h.Accept("c", l, nil, now)
		return h.Level("s", now).Balance
	}
	share := budget.Loan{Share: 0.2, AskedAt: 9 * time.Second, Lease: lease}
	grants := func(at time.Duration) budget.Loan {
		v := map[string]float64{"s": 1.0 / 58}
		return budget.Loan{Share: 0.3, AskedAt: at, Lease: lease, Starts: v, Pieces: v}
	}
	i.Equal(level(share, 10*time.Second), 0.0)
	i.Equal(level(grants(500*time.Millisecond), 10*time.Second), 0.0) // 9.5 s late
	i.Equal(h.Level("s", 10*time.Second).Share, 0.2)
	i.Equal(level(grants(10*time.Second), 10*time.Second), 2.0)
	i.Equal(level(grants(10*time.Second), 11*time.Second), 2.0) // twice
	i.Equal(level(grants(8*time.Second), 11*time.Second), 2.0)  // older
}

// Guards against a starting balance that is granted again while the reply with the one before may still be under way.
func TestStartingBalancesCountUntilTheirRepliesAreTooLate(t *testing.T) {
	const lease = 4 * time.Second
	i := is.New(t)
	p := budget.NewPool(0)
	ask := func(host string, now time.Duration) float64 {
		l, _ := p.Exchange(budget.Request{
			Host: host, Begin: true, Controls: 1, New: true, Window: window, Holding: budget.Holding{AskedAt: now},
			Statements: map[string]budget.Statement{"s": {Start: 1}},
		}, now)
		return l.Starts["s"]
	}
	i.True(ask("a", 0) > 0)
	i.Equal(ask("b", window+lease-time.Millisecond), 0.0)
}
