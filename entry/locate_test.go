package entry_test

import (
	"errors"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/entry"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// touchTime is how long a host has had a path to the control hosts when promises hold for it.
const touchTime = 3 * time.Second

// locateCase is an entry host whose first control host goes, while another one can be reached.
type locateCase struct {
	// current is whether the first control host is, and members those that it names.
	current bool
	members []string
	// seedsBoth is set if the settings name both.
	seedsBoth bool
	// neighbours are the other entry hosts that the first control host names.
	neighbours []string
	// tell tells the host of the other control host, if anything does.
	tell func(e *entry.Entry, other string)
}

// Guards against a host that never finds a control host again, and goes on with the configuration that it has: the one that it uses goes, and
// another one can be reached that the last list of control hosts didn't name.
func TestEntryHostFindsControlHostThatLastListDidNotName(t *testing.T) {
	gone := []string{"127.0.0.9:1"}
	for n, c := range map[string]locateCase{
		"a control host that isn't current names gone ones":  {members: gone, seedsBoth: true},
		"a current control host names gone ones":             {current: true, members: gone, seedsBoth: true},
		"another entry host knows it":                        {current: true, members: gone, neighbours: []string{"silent", "knows"}},
		"newer settings name it":                             {current: true, members: gone, tell: func(e *entry.Entry, other string) { e.SetSeeds([]string{other}) }},
		"newer settings name it, and then others that don't": {current: true, members: gone, tell: tellTwice},
	} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			c.play(t)
		})
	}
}

// tellTwice names a control host in settings, and a gone one in the settings after them.
func tellTwice(e *entry.Entry, other string) {
	e.SetSeeds([]string{other})
	time.Sleep(touchTime)
	e.SetSeeds([]string{"127.0.0.9:1"})
}

func (c locateCase) play(t *testing.T) {
	i := is.New(t)
	p := reservePort(t, 2)
	a, b := controlAt(1, p), controlAt(2, p)
	a.current.Store(c.current)
	a.controls, a.neighbours = c.members, c.neighbours
	b.current.Store(true)
	i.NoErr(a.open())
	t.Cleanup(a.shut)
	o := hostOptions{port: p, seeds: []string{"127.0.0.1:1"}}
	if c.seedsBoth {
		o.seeds = append(o.seeds, "127.0.0.2:1")
	}
	o.ask = func(address string) (ctlrpc.Directory, error) {
		if address != "knows" {
			return ctlrpc.Directory{}, errors.New("no answer")
		}
		return ctlrpc.Directory{Controls: []string{b.address}}, nil
	}
	e, _ := newEntry(o)
	t.Cleanup(e.Stop)
	itest.Eventually(t, touchTime, func() error {
		if a.repliedAt.Load() == 0 {
			return errors.New("the first control host got no exchange")
		}
		return nil
	})
	time.Sleep(2 * waitingReply) // the reply is applied
	a.shut()
	i.NoErr(b.open())
	t.Cleanup(b.shut)
	if c.tell != nil {
		c.tell(e, b.address)
	}
	itest.Eventually(t, touchTime+applyTime, func() error {
		if b.currentAt.Load() == 0 {
			return errors.New("the other control host got no exchange")
		}
		return nil
	})
}

// controlAt returns a control host on a loopback address.
func controlAt(octet byte, port uint16) *switchControl {
	return &switchControl{address: (&net.TCPAddr{IP: net.IPv4(127, 0, 0, octet), Port: int(port)}).String()}
}

// Guards against a host that asks other entry hosts, and its control hosts, without a pause: another entry host names more gone control hosts
// than it keeps, so that there is always one that it doesn't know. While no control host has a leader, all entry hosts do so.
func TestQuestionsDontBecomeMoreByNeighboursThatNameManyControlHosts(t *testing.T) {
	const (
		watched = 3 * time.Second
		// mostAsked is two neighbours each 300 ms, and one more time for each.
		mostAsked = 2 * (int(watched/(300*time.Millisecond)) + 1)
	)
	i := is.New(t)
	p := reservePort(t, 2)
	a := controlAt(1, p)
	a.controls, a.neighbours = []string{"127.0.0.9:1"}, []string{"x", "y"}
	a.current.Store(true)
	i.NoErr(a.open())
	t.Cleanup(a.shut)
	var n atomic.Int64
	e, _ := newEntry(hostOptions{port: p, seeds: []string{"127.0.0.1:1"}, ask: func(string) (ctlrpc.Directory, error) {
		n.Add(1)
		time.Sleep(time.Millisecond)
		var d ctlrpc.Directory
		for k := range 24 { // members, seeds and what a host keeps beside them
			d.Controls = append(d.Controls, controlAt(byte(100+k), p).address)
		}
		return d, nil
	}})
	t.Cleanup(e.Stop)
	itest.Eventually(t, touchTime, func() error {
		if a.repliedAt.Load() == 0 {
			return errors.New("the control host got no exchange")
		}
		return nil
	})
	time.Sleep(2 * waitingReply) // the reply is applied
	a.shut()
	time.Sleep(watched)
	t.Log(n.Load(), "questions")
	i.True(n.Load() <= int64(mostAsked))
}
