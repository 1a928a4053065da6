package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
)

// assisting returns the report of a host that was answered by a service in its own data centre.
func assisting(n int, age time.Duration) ctlrpc.HostReport {
	c := fmt.Sprint("c", n%3)
	return ctlrpc.HostReport{Host: fmt.Sprint("h", n), Start: 1, Sequence: 1, Assist: ctlrpc.Assist{
		DataCentre: c, Address: fmt.Sprint("a", n), Token: "t", Answered: map[ctlrpc.Pool]time.Duration{{Service: "s", DataCentre: c}: age},
	}}
}

// Guards against naming hosts that are cut off themselves, that stop or are gone, and against naming all of 300.
func TestHelpersReachEndpointsAndAreFew(t *testing.T) {
	i := is.New(t)
	c := newCluster(t, 3)
	c.run(2 * time.Second)
	for n := range 300 {
		r := assisting(n, 100*time.Millisecond)
		switch n % 5 {
		case 0:
			r.Assist.Answered = nil
		case 1:
			r.Assist.Stopping = true
		case 2:
			for p := range r.Assist.Answered {
				r.Assist.Answered[p] = 2 * time.Second
			}
		}
		c.reduce(address(n%3), ctrl.HostReported{Report: r})
	}
	c.run(200 * time.Millisecond)
	f := func(q ctlrpc.HelperRequest) []ctlrpc.NamedHelper {
		s := c.hosts[address(0)].state
		return ctrl.NewHelperIndex(s).For(q, s.Now+10*time.Millisecond)
	}
	l := f(ctlrpc.HelperRequest{Host: "h3", DataCentre: "c0"})
	i.True(len(l) > 0 && len(l) <= 12) // four for the endpoints of each data centre
	m := map[string]bool{}
	for _, h := range l {
		var n int
		_, err := fmt.Sscanf(h.Host, "h%d", &n)
		i.NoErr(err)
		i.True(n%5 >= 3)
		i.True(h.Host != "h3")
		i.Equal(len(h.Answered), 1)
		for _, d := range h.Answered {
			i.True(d >= 110*time.Millisecond && d < time.Second)
		}
		m[h.DataCentre] = true
	}
	i.Equal(len(m), 3)
	o := f(ctlrpc.HelperRequest{Host: "h8", DataCentre: "c2"})
	i.True(fmt.Sprint(o) != fmt.Sprint(l)) // others are named to others
	for n := range 300 {
		c.reduce(address(n%3), ctrl.HostReported{Report: ctlrpc.HostReport{Host: fmt.Sprint("h", n), Start: 1, Sequence: 2}}) // without Assist
	}
	c.run(200 * time.Millisecond)
	i.True(len(f(ctlrpc.HelperRequest{Host: "h3", DataCentre: "c0"})) > 0) // the last one stays
	c.run(2 * time.Second)
	i.Equal(len(f(ctlrpc.HelperRequest{Host: "h3", DataCentre: "c0"})), 0)
}
