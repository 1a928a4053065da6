package entry

import (
	"math/rand/v2"
	"net/rpc"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
)

// leaderTimeout bounds the wait for the answer whether a control host has a leader.
const leaderTimeout = 300 * time.Millisecond

// findLeader asks other control hosts whether they have a leader and returns the connection to the first that has. It asks
// fewer than half of all, which is enough: control hosts without a leader that are cut off from the others are fewer, and this
// host's is one of them. The question is small, since hundreds of hosts ask it when a leader is lost.
func (e *Entry) findLeader() (address string, c *rpc.Client, ok bool) {
	l := slices.DeleteFunc(slices.Clone(e.controls), func(a string) bool { return a == e.address })
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, a := range l[:min(len(l), max(1, (len(e.controls)-1)/2))] {
		if c, ok := askLeader(a); ok {
			return a, c, true
		}
	}
	return "", nil, false
}

// askLeader returns a connection to a control host if that has a leader. One of an earlier build can't tell, and is taken for
// one that has.
func askLeader(address string) (*rpc.Client, bool) {
	n, err := dial.Connect(address)
	if err != nil {
		return nil, false
	}
	c := rpc.NewClient(n)
	var r ctlrpc.LeaderReply
	d := c.Go(ctlrpc.ServiceName+".Leader", ctlrpc.Ack{}, &r, make(chan *rpc.Call, 1))
	t := time.NewTimer(leaderTimeout)
	defer t.Stop()
	select {
	case <-d.Done:
		if _, old := d.Error.(rpc.ServerError); r.Current || old {
			return c, true
		}
	case <-t.C:
	}
	_ = c.Close() // nothing is under way on it that matters
	return nil, false
}
