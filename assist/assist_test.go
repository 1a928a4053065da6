package assist_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

var epoch = time.Unix(1000, 0)

// lost returns the data centre x as lost since a time.
func lost(since time.Time) map[string]time.Time { return map[string]time.Time{"x": since} }

// helpers returns hosts that were answered a number of seconds after epoch. Every second one is in another data centre.
func helpers(answered ...int) []assist.Helper {
	var r []assist.Helper
	for n, a := range answered {
		r = append(r, assist.Helper{Host: fmt.Sprint("h", n), DataCentre: fmt.Sprint("c", n%2), AnsweredAt: map[ctlrpc.Pool]time.Time{{Service: "s", DataCentre: "x"}: epoch.Add(time.Duration(a) * time.Second)}})
	}
	return r
}

// Guards against hosts that are cut off themselves, or whose news is old.
func TestOnlyHostsAnsweredSinceAreChosen(t *testing.T) {
	i := is.New(t)
	b := assist.NewBoard("c0")
	n := epoch.Add(5 * time.Second)
	b.Set(helpers(3, 4, 5), n)
	h, ok := b.Choose("s", lost(epoch.Add(4*time.Second)), n, nil)
	i.True(ok)
	i.Equal(h.Host, "h2")
	_, ok = b.Choose("s", lost(epoch.Add(4*time.Second)), n, map[string]bool{"h2": true})
	i.True(!ok)
	_, ok = b.Choose("other", lost(epoch), n, nil)
	i.True(!ok)
	_, ok = b.Choose("s", lost(epoch), n.Add(3*time.Second), nil) // no news since
	i.True(!ok)
}

// Guards against one host that gets all requests of another one, and against bytes between data centres without need.
func TestRequestsAreSpreadOverHosts(t *testing.T) {
	i := is.New(t)
	b := assist.NewBoard("c0")
	b.Set(helpers(1, 1, 1, 1), epoch)
	n := map[string]int{}
	for range 120 {
		h, ok := b.Choose("s", lost(epoch), epoch, nil)
		i.True(ok)
		n[h.Host]++
	}
	i.Equal(n["h0"], n["h2"]) // the own data centre
	i.Equal(n["h1"], n["h3"])
	i.True(n["h0"] > n["h1"])
	i.True(n["h1"] > 0) // it isn't overloaded either
}

func TestHostThatDeclinesIsLeftOutForATime(t *testing.T) {
	i := is.New(t)
	b := assist.NewBoard("c0")
	b.Set(helpers(1), epoch)
	b.Decline("h0", 100*time.Millisecond, epoch)
	_, ok := b.Choose("s", lost(epoch), epoch.Add(50*time.Millisecond), nil)
	i.True(!ok)
	_, ok = b.Choose("s", lost(epoch), epoch.Add(150*time.Millisecond), nil)
	i.True(ok)
	b.Fail("h0", epoch.Add(200*time.Millisecond))
	_, ok = b.Choose("s", lost(epoch), epoch.Add(300*time.Millisecond), nil)
	i.True(!ok)
	h := helpers(1)
	h[0].Token = "new start"
	b.Set(h, epoch.Add(300*time.Millisecond))
	_, ok = b.Choose("s", lost(epoch), epoch.Add(300*time.Millisecond), nil)
	i.True(ok)
}

// Guards against a host that is drowned by what it does for others: urgent requests keep room, and all of it is bounded.
func TestHelpIsBoundedByPriority(t *testing.T) {
	i := is.New(t)
	b := assist.NewBound(4100, 284)
	f := func(p int) int {
		n := 0
		for {
			w, ok := b.Take("o", p, 1000, epoch)
			if !ok {
				i.True(w > 0)
				return n
			}
			n++
		}
	}
	l := f(9)
	h := f(0)
	i.True(l > 0)
	i.True(h >= l/2)
	i.True(l+h <= 284)
	i.Equal(b.Taken(), l+h)
	for range l + h {
		b.Release(1000)
	}
	i.Equal(b.Taken(), 0)
	_, ok := b.Take("o", 0, 1<<40, epoch) // no memory for the body
	i.True(!ok)
	i.Equal(b.Origins(epoch), 1)
	i.Equal(b.Origins(epoch.Add(time.Minute)), 0)
}
