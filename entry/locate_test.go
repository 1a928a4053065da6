package entry_test

import (
	"errors"
	"net"
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
