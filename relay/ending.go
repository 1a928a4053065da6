package relay

import (
	"bufio"
	"errors"
	"net"
	"time"

	"github.com/sirupsen/logrus"
)

// side is one of those that can end an answer before its end.
type side int

const (
	endpointSide side = iota // endpoint
	hostSide                 // host
	callerSide               // caller
)

// ending says who ended an answer that had begun, and why.
type ending struct {
	by  side
	why string
	// cause is the error that came with it, or nil.
	cause error
}

// ending returns who ended the answer that has begun.
func (j *job) ending() ending {
	switch {
	case j.relay.closing.Load():
		return ending{hostSide, "stop", j.writeError}
	case errors.Is(j.writeError, net.ErrClosed):
		return ending{hostSide, "connection closed", j.writeError}
	case j.writeError != nil:
		return ending{callerSide, "write failed", j.writeError}
	case j.callerContext.Err() != nil:
		return ending{callerSide, "disconnected", nil}
	case time.Until(j.deadline) <= 0:
		return ending{hostSide, "deadline", j.breakError}
	case errors.Is(j.breakError, errTooLong), errors.Is(j.breakError, bufio.ErrBufferFull), isFull(j.breakError):
		return ending{hostSide, "too long", j.breakError}
	case errors.Is(j.breakError, errSuperseded):
		return ending{hostSide, "no further run", j.breakError}
	}
	return ending{endpointSide, "broke off", j.breakError}
}

// endEarly logs and counts an answer that has begun and ends early, and aborts it: a caller may have closed only its half of the
// connection, and still read. The line is the only one at the warning level or above that says who ended the answer.
func (j *job) endEarly() {
	e := j.ending()
	o, m := "broken-off", "request: the answer ends early"
	if e.by == callerSide {
		o, m = "caller-left", "request: the caller left"
	}
	l := j.countUnserved(o).WithFields(j.tableFields()).WithFields(j.eventFields())
	if e.cause != nil {
		l = l.WithError(e.cause)
	}
	l.WithFields(logrus.Fields{"ended-by": e.by.String(), "why": e.why, "late": time.Until(j.deadline) <= 0}).Warn(m)
	j.sink.Abort()
}

// tableFields returns how old the routing table of the request is, and which one is in force now, as fields of a log line. Ages are
// the times since this host put a table in force, in ms.
func (j *job) tableFields() logrus.Fields {
	c := j.relay.table.Load()
	return logrus.Fields{
		"table-age":     time.Since(j.tableSince).Milliseconds(),
		"current-table": c.table.Version, "current-table-age": time.Since(c.since).Milliseconds(),
	}
}

// confirmedFields returns how long before the request was admitted its routing table was known to be the newest, in ms, as a field of a
// log line. It is left out if that wasn't known.
func (j *job) confirmedFields() logrus.Fields {
	if j.confirmedAge < 0 {
		return nil
	}
	return logrus.Fields{"confirmed-age": j.confirmedAge.Milliseconds()}
}

// eventFields returns what the caller has received of a stream, as fields of a log line. event-age is in ms.
func (j *job) eventFields() logrus.Fields {
	f := logrus.Fields{"last-event": j.lastEventID, "events": j.passed}
	if !j.lastEventAt.IsZero() {
		f["event-age"] = time.Since(j.lastEventAt).Milliseconds()
	}
	return f
}

// endUnanswered logs and counts a request whose connection has ended before its answer began. The handler closes the connection.
func (j *job) endUnanswered() {
	if j.relay.closing.Load() {
		j.countUnserved("stopped").WithFields(j.tableFields()).Warn("request: not answered, this host stops")
		return
	}
	j.countUnserved("caller-left").Info("request: the caller left")
}

// noteBreak notes why the answer that is passed on broke off. That another answer doesn't go on with it is no reason itself.
func (j *job) noteBreak(cause error) {
	if j.breakError == nil || !errors.Is(cause, errNotContinued) {
		j.breakError = cause
	}
}

// write passes a piece of the answer on to the caller.
func (j *job) write(b []byte) error {
	err := j.sink.Write(b)
	if err != nil {
		j.writeError = err
	}
	return err
}
