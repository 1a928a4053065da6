package shed_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/shed"
	"github.com/hickoryshelf/hickoryshelf/tiers"
)

// chooser returns a chooser with the usual weights.
func chooser() shed.Chooser { return shed.NewChooser(tiers.NewChooser(tiers.DefaultWeights())) }

// refused returns a request that is refused: it would wait for as long as is allowed.
func refused() shed.Request {
	return shed.Request{Wait: time.Second, Full: true, Waiting: 9, Allowed: time.Second, Work: 50 * time.Millisecond, Left: 20 * time.Second, Draw: 0.5}
}

// Guards against refusals while endpoints have free slots, or nothing waits, whatever else is known.
func TestNothingIsRefusedWhileSlotsAreFree(t *testing.T) {
	i := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	d := shed.Demand{Accounts: map[string]float64{"a": 1000, "b": 1}, Priorities: map[int]float64{0: 1000, 9: 1}}
	for range 1000 {
		q := shed.Request{Account: "a", Priority: 9, Demand: d, Allowed: time.Duration(r.IntN(2000)) * time.Millisecond, Left: time.Duration(r.IntN(2000)) * time.Millisecond, Draw: r.Float64()}
		q.Wait, q.Full = time.Duration(r.IntN(9000))*time.Millisecond, false
		i.Equal(chooser().First(q).Outcome, shed.Serve)
		i.True(chooser().MayEscalate(q))
		q.Full, q.Waiting = true, 0
		i.Equal(chooser().First(q).Outcome, shed.Serve)
	}
}

// Guards against a request that is held until its deadline although no endpoint is expected to begin before.
func TestHopelessRequestIsRefusedAtOnce(t *testing.T) {
	i := is.New(t)
	q := refused()
	q.Allowed, q.Draw, q.Left = time.Minute, 0, 900*time.Millisecond
	d := chooser().First(q)
	i.Equal(d.Outcome, shed.Hopeless)
	i.True(d.RetryAfter <= 300*time.Millisecond)
}

// Guards against refused callers that come back together, or after they have given up.
func TestTimesToComeBackAreSpread(t *testing.T) {
	i := is.New(t)
	slots := map[time.Duration]int{}
	r := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		q := refused()
		q.ReturnDraw = r.Float64()
		d := chooser().First(q)
		i.Equal(d.Outcome, shed.Shed)
		i.True(d.RetryAfter >= 600*time.Millisecond && d.RetryAfter <= q.Left/3)
		slots[d.RetryAfter/(100*time.Millisecond)]++
	}
	for _, n := range slots {
		i.True(n <= 150)
	}
}

// Guards against an account above its fair share that is refused no more often than others, or starved.
func TestAccountAboveFairShareIsRefusedFirst(t *testing.T) {
	i := is.New(t)
	q := refused()
	q.Wait = 600 * time.Millisecond // half is admitted
	q.Demand = shed.Demand{Accounts: map[string]float64{"large": 6, "a": 1, "b": 1, "c": 1, "d": 1, "e": 1, "f": 1}}
	q.Account = "large"
	l := chooser().First(q)
	q.Account = "a"
	s := chooser().First(q)
	i.True(s.Share > 0.8) // six accounts and what is left of the large one share half of the work
	i.True(l.Share < 0.3)
	i.True(l.Share >= l.Mean/4)
	f, ok := q.Demand.FairShare(1)
	i.True(!ok)
	i.Equal(f, 0.0)
}

// Guards against old demand of the fleet that names accounts which have stopped since.
func TestOldDemandOfFleetIsNotUsed(t *testing.T) {
	i := is.New(t)
	l := shed.NewLedger()
	u := shed.Use{Kind: "k", Account: "a", SlotTime: time.Second, Work: 100 * time.Millisecond, Objective: time.Second}
	l.Add("s", u, time.Second)
	l.Adopt(map[string]shed.Demand{"s": {Accounts: map[string]float64{"b": 9}}}, 0, 500*time.Millisecond, time.Second)
	v := l.View("s", 2*time.Second)
	i.True(v.Fleet)
	i.Equal(v.Age, 1500*time.Millisecond)
	i.Equal(v.Allowed, 900*time.Millisecond)
	v = l.View("s", 4*time.Second)
	i.True(!v.Fleet)
	i.Equal(len(v.Demand.Accounts), 0) // one request tells no shares
}

// Guards against a newer sum of the fleet's demand that isn't taken over since one of its parts is older.
func TestNewerSumIsAdoptedThoughItsOldestPartIsOlder(t *testing.T) {
	i := is.New(t)
	l := shed.NewLedger()
	l.Add("s", shed.Use{Kind: "k", SlotTime: time.Second, Objective: time.Second}, time.Second)
	sum := func(account string) map[string]shed.Demand {
		return map[string]shed.Demand{"s": {Accounts: map[string]float64{account: 9}}}
	}
	l.Adopt(sum("a"), 0, 100*time.Millisecond, 2*time.Second)
	l.Adopt(sum("b"), 0, 2*time.Second, 3*time.Second)
	l.Adopt(sum("a"), 1500*time.Millisecond, 1500*time.Millisecond, 3*time.Second) // an older sum comes late
	v := l.View("s", 3*time.Second)
	i.Equal(v.Demand.Accounts["b"], 9.0)
	i.Equal(v.Age, 2*time.Second)
}

// Guards against messages that name all of many accounts, and work that is lost since they don't.
func TestBoundedDemandNamesAccountsWithMostWork(t *testing.T) {
	i := is.New(t)
	d := shed.Demand{Accounts: map[string]float64{}, Priorities: map[int]float64{0: 210}}
	for n := range 20 {
		d.Accounts[string(rune('a'+n))] = float64(n + 1)
	}
	b := d.Bounded(5).Bounded(5)
	i.Equal(len(b.Accounts), 5)
	i.Equal(b.Accounts["t"], 20.0)
	i.Equal(b.Rest, 120.0)
	i.Equal(b.RestAccounts, 15)
	f, ok := d.FairShare(0.5)
	g, _ := b.FairShare(0.5)
	i.True(ok)
	i.True(g > 0.8*f && g < 1.2*f)
}

// Guards against refused callers that come back together where the deadline is short or the wait long.
func TestTimesToComeBackAreSpreadWithinDeadline(t *testing.T) {
	i := is.New(t)
	for _, c := range []struct{ wait, left time.Duration }{{time.Second, 1500 * time.Millisecond}, {20 * time.Second, 15 * time.Second}, {20 * time.Second, 40 * time.Second}} {
		q := refused()
		q.Wait, q.Left = c.wait, c.left
		at := map[time.Duration]int{}
		for k := range 100 {
			q.ReturnDraw = float64(k) / 100
			n := chooser().First(q).RetryAfter
			i.True(n >= 100*time.Millisecond && n <= q.Left/3)
			at[n/(q.Left/60)]++
		}
		i.True(len(at) >= 10) // of 20 parts of the time that callers honour
	}
}

// Guards against a wait that is allowed by chance where a kind has no objective.
func TestKindsWithoutObjectiveAllowAnyWait(t *testing.T) {
	i := is.New(t)
	for range 50 {
		l := shed.NewLedger()
		l.Add("s", shed.Use{Kind: "k", SlotTime: time.Second, Objective: time.Second}, time.Second)
		l.Add("s", shed.Use{Kind: "without", SlotTime: time.Second, Work: time.Second}, time.Second)
		i.Equal(l.View("s", time.Second).Allowed, time.Second)
	}
}

// Guards against a message that keeps a host busy by the number of accounts that it doesn't name.
func TestFairShareOfAnyNumberOfAccountsIsFoundAtOnce(t *testing.T) {
	i := is.New(t)
	f, ok := shed.Demand{Accounts: map[string]float64{"a": 6}, Rest: 4, RestAccounts: 1 << 40}.FairShare(0.5)
	i.True(ok)
	i.True(f > 0.999 && f < 1.001) // the others ask for less than an equal part and get all of their 4, of 5
}
