package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"github.com/hickoryshelf/hickoryshelf/table"
)

// signal is something that an attempt has received: its outcome first, then the events of a stream and their end.
type signal struct {
	// outcome is set in the first signal only.
	outcome *outcome
	// event is a complete event. It is valid until the next signal is taken.
	event []byte
	// err says why no more events follow: io.EOF at the end of the stream, or why it broke off.
	err error
}

// outcome is what became of sending an attempt.
type outcome struct {
	reply Reply
	hop   Hop
	// side is the body of a refusal or a failure, or nil if it wasn't read.
	side *sideBody
	// recorded is set once recordHead has recorded it.
	recorded bool
}

// start sends the attempt.
func (u *upstreamAttempt) start() { go u.run() }

// run sends the attempt and delivers what is received of it, until the end or until close was called. The goroutine of the job
// reads the body of an answer that isn't a stream, and that of a refusal or a failure unless another attempt is open beside it.
func (u *upstreamAttempt) run() {
	defer close(u.ended)
	r, h := u.send()
	if r.Body != nil {
		defer r.Body.Close() //nolint:errcheck // the answer was handled, or isn't wanted
	}
	o := &outcome{reply: r, hop: h}
	if u.patience != nil && hasSideBody(r) {
		o.side = u.readSideBody(r)
	}
	if !u.deliver(signal{outcome: o}) {
		o.side.release()
		return
	}
	if r.Body != nil && u.isEvents(r) {
		u.readEvents(r.Body)
	}
	if r.Body != nil {
		<-u.closed
	}
}

// isEvents reports whether the body of a reply is passed on event by event.
func (u *upstreamAttempt) isEvents(r Reply) bool {
	return r.Verdict == Ran && u.job.route.Kind == table.Stream && isStream(r)
}

// deliver hands a signal over to the goroutine of the job. It reports false if close was called.
func (u *upstreamAttempt) deliver(g signal) bool {
	select {
	case u.signals <- g:
		return true
	case <-u.closed:
		return false
	}
}

// close ends the attempt, which stops the run at the endpoint unless its answer was read to the end. It waits until the body of
// an answer is closed, but not for a call of Sender.Send.
func (u *upstreamAttempt) close() {
	u.cancel()
	close(u.closed)
	if u.replied {
		<-u.ended
	}
	u.end()
	if u.patience != nil {
		u.patience.Stop()
	}
}

// readEvents delivers the complete events of a stream and then why no more follow: io.EOF at its end, io.ErrUnexpectedEOF if
// the body ends within an event, errTooLong if it exceeds maxAnswerBytes, a *memory.FullError if an event takes too much memory,
// and otherwise the error of reading it.
func (u *upstreamAttempt) readEvents(body io.Reader) {
	b := bufio.NewReaderSize(body, eventBufferBytes)
	e, spare := u.newBuffer(), u.newBuffer() // the job's goroutine uses one while the other is filled
	defer e.Release()
	defer spare.Release()
	var n int
	for {
		l, err := b.ReadSlice('\n')
		if f := e.Append(l); f != nil {
			err = f
		}
		if n += len(l); n > maxAnswerBytes {
			err = errTooLong
		}
		switch {
		case errors.Is(err, bufio.ErrBufferFull) && e.Len() < maxEventBytes:
		case err == nil && len(bytes.TrimRight(l, "\r\n")) > 0 && e.Len() < maxEventBytes:
		case err == nil:
			if !u.deliver(signal{event: e.Bytes()}) {
				return
			}
			e, spare = spare, e
			e.Clear()
		case errors.Is(err, io.EOF) && len(bytes.TrimSpace(e.Bytes())) > 0:
			u.deliver(signal{err: io.ErrUnexpectedEOF})
			return
		default:
			u.deliver(signal{err: err})
			return
		}
	}
}
