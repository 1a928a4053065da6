package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/poison"
)

// suspectState returns the evidence of a host about a number of keys that two ends count against, at two different times.
func suspectState(keys int, ends ...time.Duration) poison.State {
	o := poison.NewObserver()
	var l []poison.Key
	for k := range keys {
		l = append(l, poison.Key{Kind: poison.Part, ID: fmt.Sprint("part", k)})
	}
	var n time.Duration
	for e, at := range ends {
		n = at
		b := poison.Boot{Endpoint: fmt.Sprint("e", e)}
		o.Broke(poison.Run{Boot: b, Service: "s", Keys: l, Account: "one", Age: 90 * time.Millisecond, Endpoints: 12, Hosts: 9}, n)
		o.Ended(b, n)
	}
	return poison.State{}.WithReport(o.Take(n), n)
}

// Guards against messages about watched keys that grow with their number.
func TestWatchUpdatesAreBoundedAndComplete(t *testing.T) {
	i := is.New(t)
	w := suspectState(500, time.Second, 2*time.Second).Watched()
	var h poison.Watch
	for range 8 {
		u := w.ChangesFrom(h)
		i.True(len(u.Added) <= 32)
		h = h.With(u)
	}
	i.True(h.Equal(w))
	i.True(w.ChangesFrom(h).Empty())
	for range 8 {
		h = h.With(poison.Watch{}.ChangesFrom(h))
	}
	i.True(h.Equal(poison.Watch{}))
}

// Guards against ends that go on to count against a key with which requests were served since at hosts that saw none of
// them, and against ends that count no more though they came later.
func TestServedRequestsClearEarlierEndsOnly(t *testing.T) {
	for _, c := range []struct {
		end     time.Duration
		watched bool
	}{{10 * time.Second, true}, {4 * time.Second, false}} {
		i := is.New(t)
		k := poison.Key{Kind: poison.Part, ID: "part0"}
		s := suspectState(1, 3*time.Second, c.end)
		h := poison.NewObserver()
		h.AdoptWatch(s.Watched().ChangesFrom(poison.Watch{}))
		for n := range 2 {
			h.Started("s", []poison.Key{k}, 5*time.Second)
			h.Served("s", []poison.Key{k}, time.Duration(6+n)*time.Second)
		}
		s = s.WithReport(h.Take(12*time.Second), 12*time.Second)
		i.Equal(s.Case(k).Crashes[poison.Boot{Endpoint: "e0"}].Cleared, true)
		i.Equal(s.Case(k).Crashes[poison.Boot{Endpoint: "e1"}].Cleared, !c.watched)
	}
}

// Guards against requests that stay suspected at hosts whose control host names no suspects any more.
func TestNewWatchReplacesTheOneBefore(t *testing.T) {
	i := is.New(t)
	o := poison.NewObserver()
	k := poison.Key{Kind: poison.Request, ID: "head-digest"}
	var s poison.State
	for e := range 3 {
		b := poison.Boot{Endpoint: fmt.Sprint("e", e)}
		s = s.WithReport(poison.Report{Ends: []poison.EndReport{{Boot: b, Service: "s"}}, Cases: []poison.CaseReport{{Key: k, Crashes: []poison.CrashReport{{Boot: b}}}}}, time.Second)
	}
	o.AdoptWatch(s.Watched().ChangesFrom(poison.Watch{}))
	i.True(o.Suspect([]poison.Key{k}))
	i.True(o.Knows(poison.Key{Kind: poison.Request, ID: "head"}))
	o.AdoptWatch(poison.WatchUpdate{New: true})
	i.True(!o.Suspect([]poison.Key{k}))
	i.True(!o.Knows(poison.Key{Kind: poison.Request, ID: "head"}))
}
