package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/budget"
)

// Guards against a control host that lends more as soon as others were removed: what those have lent is still in use in the window.
func TestPartIsRaisedOnlyOnceLoansOfRemovedControlHostsHaveEnded(t *testing.T) {
	const (
		removed, lease = 20 * time.Second, 4 * time.Second
		// alone is what a part is divided by at a pool with one host.
		before, after, alone = 1.0 / 6, 1.0 / 4, 1.5
	)
	i := is.New(t)
	p := budget.NewPool(0)
	var h budget.Loan
	for now := time.Duration(0); now < removed+2*window; now += exchangeEvery {
		n := 5
		if now >= removed {
			n = 3
		}
		h, _ = p.Exchange(budget.Request{
			Host: "a", Begin: now == 0, Controls: n, New: true, Window: window, Holding: budget.Holding{Share: h.Share, AskedAt: now},
			Statements: map[string]budget.Statement{"s": {Start: 1}},
		}, now)
		i.True(now >= removed+window+lease || h.Share <= before/alone+rounding)
	}
	i.True(h.Share > after/alone-rounding)
}
