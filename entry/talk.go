package entry

import (
	"errors"
	"net/rpc"
	"reflect"
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
	// begun is when the exchange was begun, and sentAt the same time as of Relay.Now.
	begun  time.Time
	sentAt time.Duration
}

// failure returns why an exchange that has ended got no reply, or nil. It is nil for no exchange too.
func (x *talk) failure() error {
	switch {
	case x == nil:
		return nil
	case x.call.Error != nil:
		return x.call.Error
	case reflect.ValueOf(x.reply).IsZero():
		return ErrEmptyReply
	}
	return nil
}

// talks are the exchanges under way. While none of them gets a reply, exchanges with further control hosts are begun beside them.
// The first that gets one is gone on with, and only then the others are given up.
type talks struct {
	entry *Entry
	// list holds at most one exchange with each control host, the oldest first.
	list []*talk
	// sure is the last exchange that was begun with a control host that has a leader, or nil.
	sure *talk
	// ended gets the calls that have ended, until over is closed.
	ended chan *rpc.Call
	over  chan struct{}
}

// begin begins an exchange.
func (t *talks) begin(address string, c *rpc.Client, q ctlrpc.ExchangeRequest) *talk {
	x := &talk{address: address, client: c, request: q, begun: time.Now(), sentAt: t.entry.Relay.Now()}
	t.list = append(t.list, x)
	x.call = c.Go(ctlrpc.ServiceName+".Exchange", q, &x.reply, make(chan *rpc.Call, 1))
	w := talkWatch{x.call, t.ended, t.over}
	go w.run()
	return x
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

// slowReplyTimeout is how long the reply of a control host with a leader is waited for beside replies of others without one.
const slowReplyTimeout = 5 * time.Second

// first returns the first exchange that gets a reply, or the error of the last one if all fail. It gives up the others. A reply
// of a control host without a leader doesn't count for slowReplyTimeout while an exchange with one that has a leader is under way.
// Once the entry host stops, no further ones are begun.
func (t *talks) first() (*talk, error) {
	defer close(t.over)
	e := t.entry
	p := time.NewTimer(exchangeTimeout)
	defer p.Stop()
	var o <-chan answer // not before exchangeTimeout: the current control host may hear of a new leader as soon as others
	for {
		select {
		case c := <-t.ended:
			x := t.endOf(c)
			err := x.failure()
			switch {
			case x == nil: // given up before
			case err == nil && (x.reply.Current || x == t.sure || !t.isSure(slowReplyTimeout)):
				t.giveUpAll(x)
				return x, nil
			default:
				t.giveUp(x)
			}
			if len(t.list) == 0 {
				return nil, err
			}
		case <-e.search.dueC():
			e.seek(t.asks)
			e.useOverdueFirst(t.isSure(slowReplyTimeout))
		case d := <-e.search.toldC():
			e.learn(d)
		case a := <-o:
			t.beginWithLeader(a)
		case <-p.C:
			if !t.beginAnother() {
				t.giveUpAll(nil)
				return nil, ErrTimeout
			}
			o = e.search.answerC()
			p.Reset(exchangeTimeout + e.besidePause.next())
		}
	}
}

// endOf returns the exchange of a call, or nil if it was given up.
func (t *talks) endOf(c *rpc.Call) *talk {
	i := slices.IndexFunc(t.list, func(x *talk) bool { return x.call == c })
	if i < 0 {
		return nil
	}
	return t.list[i]
}

// isSure reports whether an exchange with a control host that has a leader was begun less than a time ago and is under way.
func (t *talks) isSure(d time.Duration) bool {
	return t.sure != nil && slices.Contains(t.list, t.sure) && time.Since(t.sure.begun) < d
}

// beginWithLeader begins an exchange with a control host whose answer says that it has a leader, unless there is one already.
func (t *talks) beginWithLeader(a answer) {
	e := t.entry
	c, ok := e.takeAnswer(a, func(address string) bool { return t.isSure(exchangeTimeout) || t.asks(address) })
	if ok {
		e.resend()
		t.sure = t.begin(a.address, c, e.request(true))
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
	if err != nil {
		if !errors.Is(err, ErrNoControl) { // otherwise all of them are asked already
			e.search.widen()
		}
		return true
	}
	e.resend()
	t.begin(a, rpc.NewClient(c), e.request(true))
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
