package relay

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/tiers"
)

const (
	// mostEventBytes bounds one event.
	mostEventBytes = 1 << 20
	// silenceTimes is how many times the longest pause that is still on time a stream may be silent before it
	// goes on at another endpoint, and pauseOtherwise that pause where the route names none.
	silenceTimes   = 1.5
	pauseOtherwise = time.Second
	// streamBuffer is the size of the buffer for events, in bytes.
	streamBuffer = 4096
)

// errCallerLeft is returned where the caller takes no more events.
var errCallerLeft = errors.New("the caller left; its request is over")

// stream passes events on as they come. Where the answer breaks off, the request goes on elsewhere behind
// the last whole event.
func (u *use) stream(r Reply) next {
	j := u.job
	if n, ok := j.larger(r); ok {
		u.log().WithFields(logrus.Fields{"confidence": r.Confidence, "next": j.route.Tiers[n]}).Info("attempt: dropped for a larger model")
		j.size = n
		return larger
	}
	if !j.begun {
		j.begun, j.confidence = true, r.Confidence
		j.sink.Begin(r.Status, r.Header, -1)
	}
	w := u.watch(j.silence())
	err := u.events(r.Body, w)
	w.stop()
	switch {
	case err == nil:
		j.relay.times.add("hold "+j.route.Name, time.Since(u.sent))
		u.served(r.Status)
		return done
	case errors.Is(err, errCallerLeft), j.caller.Err() != nil:
		return over
	case time.Until(j.deadline) <= 0:
		return over
	}
	j.tally(u, true, 0)
	b := j.relay.Set.RecordFault(u.choice.ID, time.Now())
	u.log().WithError(err).WithField("last-event", j.last).WithField("banned", b.Milliseconds()).Warn("attempt: the stream broke off")
	j.tried[u.choice.ID] = true
	return repeat
}

// silence is how long the stream may pause, and how long ago its endpoint may have answered others to be given
// more time. Where no further run is allowed, the stream is left to its end: its endpoint may yet go on.
func (j *job) silence() (after, sign time.Duration) {
	if !j.route.Idempotent() || j.runs >= max(1, j.route.Attempts) {
		return time.Until(j.deadline), 0
	}
	p := j.route.EventGapObjective
	if p == 0 {
		p = pauseOtherwise
	}
	after = time.Duration(silenceTimes * float64(p))
	return after, after / 2
}

// larger returns the size that is asked instead of the one that has begun to answer, where the answer isn't
// kept and another run is allowed.
func (j *job) larger(r Reply) (int, bool) {
	if j.begun || len(j.route.Tiers) == 0 || r.Confidence < 0 || !j.route.Idempotent() {
		return 0, false
	}
	n, ok := tiers.Next(j.ask(), j.size, r.Confidence)
	if ok && !j.relay.Budget.TakeSpare(j.service.Name) {
		j.spent = "spare budget"
		return 0, false
	}
	return n, ok
}

// events passes whole events on until the end of the body.
func (u *use) events(body io.Reader, w *watch) error {
	j := u.job
	b := bufio.NewReaderSize(body, streamBuffer)
	var e []byte
	for {
		l, err := b.ReadSlice('\n')
		e = append(e, l...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e) < mostEventBytes {
			continue
		}
		if err == nil && len(bytes.TrimRight(l, "\r\n")) > 0 && len(e) < mostEventBytes {
			continue
		}
		if err == nil {
			j.relay.Set.RecordActivity(u.choice.ID, time.Now())
			if err := j.sink.Write(e); err != nil {
				return errCallerLeft
			}
			if id, ok := eventID(e); ok {
				j.last = id
			}
			if j.newest.IsZero() {
				j.first = time.Since(j.request.Received)
			} else {
				j.longest = max(j.longest, time.Since(j.newest))
			}
			j.newest = time.Now()
			w.seen()
			e = e[:0]
			continue
		}
		if errors.Is(err, io.EOF) && len(bytes.TrimSpace(e)) == 0 {
			return nil
		}
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
}

// eventID returns the id of an event.
func eventID(e []byte) (string, bool) {
	for _, l := range strings.Split(string(e), "\n") {
		if v, ok := strings.CutPrefix(l, "id:"); ok {
			return strings.TrimSpace(v), true
		}
	}
	return "", false
}
