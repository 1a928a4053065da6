package entry

import (
	"net/rpc"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

// talk is an exchange with a control host.
type talk struct {
	address string
	client  *rpc.Client
	request ctlrpc.ExchangeRequest
	reply   ctlrpc.ExchangeReply
	call    *rpc.Call
}

// talks are the exchanges under way. While none of them gets a reply, exchanges with further control hosts are begun beside them.
// The first that gets one is gone on with, and only then the others are given up.
type talks struct {
	entry *Entry
	// list holds at most one exchange with each control host, the oldest first.
	list []*talk
	// ended gets the calls that have ended, until over is closed.
	ended chan *rpc.Call
	over  chan struct{}
}

// begin begins an exchange.
func (t *talks) begin(address string, c *rpc.Client, q ctlrpc.ExchangeRequest) {
	x := &talk{address: address, client: c, request: q}
	t.list = append(t.list, x)
	x.call = c.Go(ctlrpc.ServiceName+".Exchange", q, &x.reply, make(chan *rpc.Call, 1))
	w := talkWatch{x.call, t.ended, t.over}
	go w.run()
}

// talkWatch passes on the end of a call.
type talkWatch struct {
	call  *rpc.Call
	ended chan<- *rpc.Call
	over  <-chan struct{}
}

func (w talkWatch) run() {
	select {
	case c := <-w.call.Done:
		select {
		case w.ended <- c:
		case <-w.over:
		}
	case <-w.over:
	}
}

// first returns the first exchange that gets a reply, or the error of the last one if all fail. It gives up the others. Once the
// entry host stops, no further ones are begun.
func (t *talks) first() (*talk, error) {
	defer close(t.over)
	p := time.NewTimer(exchangeTimeout)
	defer p.Stop()
	for {
		select {
		case c := <-t.ended:
			i := slices.IndexFunc(t.list, func(x *talk) bool { return x.call == c })
			switch {
			case i < 0: // given up before
			case c.Error == nil:
				x := t.list[i]
				t.giveUpAll(x)
				return x, nil
			default:
				t.giveUp(t.list[i])
			}
			if len(t.list) == 0 {
				return nil, c.Error
			}
		case <-p.C:
			if !t.beginAnother() {
				t.giveUpAll(nil)
				return nil, ErrTimeout
			}
			p.Reset(exchangeTimeout + t.entry.retryPause.next())
		}
	}
}

// beginAnother begins an exchange with a control host with which none is under way, if there is one. It returns false if the entry
// host stops.
func (t *talks) beginAnother() bool {
	e := t.entry
	select {
	case <-e.stop:
		return false
	default:
	}
	e.recordLoss(ErrTimeout)
	a, c, err := connectFirst(e.candidates(t.asks))
	if err == nil {
		e.resend()
		t.begin(a, rpc.NewClient(c), e.request(true))
	}
	return true
}

// asks reports whether an exchange with a control host is under way.
func (t *talks) asks(address string) bool {
	return slices.ContainsFunc(t.list, func(x *talk) bool { return x.address == address })
}

// giveUpAll gives up all exchanges but one.
func (t *talks) giveUpAll(but *talk) {
	for _, x := range slices.Clone(t.list) {
		if x != but {
			t.giveUp(x)
		}
	}
}

// giveUp closes the connection of an exchange. What was reported in it is reported again.
func (t *talks) giveUp(x *talk) {
	e := t.entry
	t.list = slices.DeleteFunc(t.list, func(o *talk) bool { return o == x })
	e.Relay.RestoreTallies(x.request.Report.Tallies)
	e.Relay.Poison.Restore(x.request.Report.Poison)
	if x.client != e.client {
		_ = x.client.Close() // nothing else is under way on it
	}
}
