package ctrl

import (
	"errors"
	"net/rpc"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// replyWait is how long messages of the control log wait for the reply to those before them, which keeps them in order. It
	// is shorter than the interval of heartbeats, so that a late reply delays none of them.
	replyWait = 100 * time.Millisecond
	// maxOpenCalls bounds the calls without a reply.
	maxOpenCalls = 8
)

// silenceTimeout is the time without any reply after which a connection for the control log is replaced. A leader waits longer
// than that before it steps down.
var silenceTimeout = timing.Election

// messageLoop sends queued control log messages in order, all that are waiting in one call.
type messageLoop struct {
	link *link
	// open holds the calls without a reply on the current connection, with the times at which they began. They come on done
	// when they end.
	open map[*rpc.Call]time.Duration
	done chan *rpc.Call
	// sentAt is when the newest call began, and heardAt when the last reply came or the oldest open call began.
	sentAt, heardAt time.Duration
}

func newMessageLoop(k *link) *messageLoop {
	l := &messageLoop{link: k}
	l.forget()
	return l
}

// forget gives up the open calls. Those of a closed connection still end, on a channel of their own.
func (l *messageLoop) forget() {
	l.open, l.done = map[*rpc.Call]time.Duration{}, make(chan *rpc.Call, maxOpenCalls)
}

func (l *messageLoop) run() {
	h := l.link.host
	t := time.NewTimer(time.Hour)
	defer t.Stop()
	for {
		m := l.link.messages
		if !l.maySend(h.sinceStart()) {
			m = nil
		}
		t.Reset(l.untilCheck(h.sinceStart()))
		select {
		case v := <-m:
			l.send(v)
		case c := <-l.done:
			l.end(c)
		case <-t.C:
			l.checkSilence()
		case <-h.stop:
			return
		}
	}
}

// maySend reports whether further messages may be sent.
func (l *messageLoop) maySend(now time.Duration) bool {
	return len(l.open) == 0 || len(l.open) < maxOpenCalls && now >= l.sentAt+replyWait
}

// untilCheck returns the time until further messages may be sent or the connection counts as silent.
func (l *messageLoop) untilCheck(now time.Duration) time.Duration {
	switch {
	case len(l.open) == 0:
		return time.Hour
	case now < l.sentAt+replyWait:
		return l.sentAt + replyWait - now
	}
	return max(0, l.heardAt+silenceTimeout-now)
}

// send sends a message and all others that wait.
func (l *messageLoop) send(first quorum.Message) {
	m := ctlrpc.Messages{Messages: []quorum.Message{first}}
	for len(l.link.messages) > 0 {
		m.Messages = append(m.Messages, <-l.link.messages)
	}
	n := l.link.host.sinceStart()
	c, err := l.link.log.begin("Quorum", m, &ctlrpc.Ack{}, l.done)
	if err != nil {
		time.Sleep(retryDelay)
		return
	}
	if len(l.open) == 0 {
		l.heardAt = n
	}
	l.sentAt, l.open[c] = n, n
}

// end records a call that has ended.
func (l *messageLoop) end(c *rpc.Call) {
	n := l.link.host.sinceStart()
	l.link.host.strain.called(n-l.open[c], n)
	delete(l.open, c)
	l.heardAt = n
	var e rpc.ServerError
	if c.Error != nil && !errors.As(c.Error, &e) {
		l.reconnect(c.Error)
		return
	}
	l.link.log.recordResult(c.Error)
}

// checkSilence replaces the connection if no reply has come for silenceTimeout.
func (l *messageLoop) checkSilence() {
	if len(l.open) > 0 && l.link.host.sinceStart() >= l.heardAt+silenceTimeout {
		l.reconnect(ErrTimeout)
	}
}

// reconnect closes the connection. The next messages open another one.
func (l *messageLoop) reconnect(err error) {
	l.link.log.disconnect(nil)
	l.link.log.recordResult(err)
	l.forget()
}
