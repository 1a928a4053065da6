package budget_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/budget"
)

// ask lets a host that holds a share ask a pool of one of three control hosts for another one and for a starting balance.
func ask(p *budget.Pool, host string, held float64, begin bool, now time.Duration) budget.Loan {
	l, _ := p.Exchange(budget.Request{
		Host: host, Begin: begin, Holding: budget.Holding{Share: held, AskedAt: now}, Controls: 3, Window: window,
		Statements: map[string]budget.Statement{"s": {Start: 0.1}},
	}, now)
	return l
}

// partOfThree is what one of three control hosts may lend.
const partOfThree = 0.25

// lent returns a pool that began long ago, and the share that its only host holds.
func lent() (p *budget.Pool, held float64, now time.Duration) {
	p, now = budget.NewPool(0), time.Minute
	return p, ask(p, "a", 0, true, now).Share, now
}

// Guards against a share that is lent to another host though the reply that takes it back was lost.
func TestShareIsLentAgainOnlyOnceGivenBack(t *testing.T) {
	i := is.New(t)
	p, a, n := lent()
	b := 0.0
	for k := range 3 {
		n += exchangeEvery
		b = ask(p, "b", b, k == 0, n).Share
		i.True(a+b <= partOfThree+rounding)
		i.True(ask(p, "a", a, false, n).Share < a) // the reply is lost
	}
}

// Guards against a share that is lent to another host while the process before still holds it.
func TestShareOfProcessBeforeIsCounted(t *testing.T) {
	i := is.New(t)
	p, a, n := lent()
	b := ask(p, "a", 0, true, n+exchangeEvery).Share
	i.True(a+b <= partOfThree+rounding)
	b = ask(p, "a", b, false, n+time.Minute).Share // long after the end of both leases
	i.True(b >= a)
}

// Guards against starting balances that a control host grants again after its own start, within the same window.
func TestControlHostThatStartsGrantsNoStartingBalances(t *testing.T) {
	i := is.New(t)
	const hold = 5 * time.Second // replies of the process before may be under way for so long
	p := budget.NewPool(0)
	for n := time.Duration(0); n < window+hold; n += exchangeEvery {
		i.Equal(len(ask(p, "a", 0, n == 0, n).Starts), 0)
	}
	i.True(ask(p, "a", 0, false, window+hold).Starts["s"] > 0)
}

// Guards against starting balances of many starts that exceed what a control host may grant in a window.
func TestStartingBalancesOfManyStartsAreBounded(t *testing.T) {
	i := is.New(t)
	p, _, n := lent()
	var f float64
	for k := range 50 {
		f += ask(p, string(rune('b'+k)), 0, true, n+window/2+time.Duration(k)*window/100).Starts["s"]
	}
	i.True(f <= partOfThree)
}

// Guards against a control host that lends though it isn't in the control log.
func TestControlHostOutsideLogLendsNothing(t *testing.T) {
	l, _ := budget.NewPool(0).Exchange(budget.Request{Host: "a", Begin: true, New: true, Window: window, Statements: map[string]budget.Statement{"s": {Start: 0.1}}}, 0)
	i := is.New(t)
	i.Equal(l.Share, 0.0)
	i.Equal(len(l.Starts), 0)
}
