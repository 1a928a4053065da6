package relay

import (
	"bytes"
	"errors"
	"io"
	"time"
)

const (
	// maxEventBytes bounds an event. A longer event is passed on at its next line end; a longer line breaks the
	// stream off.
	maxEventBytes = 1 << 20
	// maxHeldBytes bounds the comments that are held until the first event of a resumed stream.
	maxHeldBytes = 4 << 10
	// If a stream sends nothing for silenceFactor times the route's EventGapObjective, another endpoint is asked to go on with
	// it. defaultEventGapObjective is used for routes without this objective.
	silenceFactor            = 1.5
	defaultEventGapObjective = time.Second
	// eventBufferBytes is the size of the read buffer; a longer line is collected in several reads.
	eventBufferBytes = 4096
)

// errCallerLeft is returned by relayEvents if an event could not be written to the caller.
var errCallerLeft = errors.New("the caller disconnected before the end of the stream")

// relayStream passes events on as they arrive, unless the confidence of the model calls for an escalation. If the
// stream breaks off, another attempt resumes it after the last complete event.
func (u *upstreamAttempt) relayStream(r Reply) nextStep {
	j := u.job
	j.recordConfidence(r.Confidence)
	if n, ok := j.escalationTier(r); ok && u.escalate(n, r.Confidence) {
		return escalate
	}
	if u.continues = j.answerBegun; !u.continues {
		j.answerBegun, j.confidence, j.contentType = true, r.Confidence, mediaType(r)
		j.sink.Begin(r.Status, r.Header, -1)
	}
	w := u.newSilence(j.silenceTimeout(0))
	err := u.relayEvents(w)
	w.stop()
	switch {
	case err == nil:
		u.learnDuration(holdKey(j.route.Name, j.model()), time.Since(u.sent))
		u.recordGapSpeed()
		u.recordServed(r.Status)
		return done
	case errors.Is(err, errCallerLeft), j.callerContext.Err() != nil:
		return ended
	case time.Until(j.deadline) <= 0:
		return ended
	}
	u.tallyBreak()
	u.handleBreak(err)
	return rerun
}

// handleBreak records that a stream broke off, or was given up.
func (u *upstreamAttempt) handleBreak(cause error) {
	j := u.job
	j.noteBreak(cause)
	u.recordFull(cause, "events")
	b := j.relay.Endpoints.RecordFault(u.choice.ID, u.way, time.Now())
	u.log().WithError(cause).WithField("last-event", j.lastEventID).WithField("banned", b.Milliseconds()).Warn("attempt: the stream broke off")
	u.exclude(u.linkLost)
	u.recordBreak(cause)
}

// silenceTimeout returns how long the stream may send nothing, and how recently its endpoint must have answered
// another request to get more time. uncounted is the number of attempts in flight that runs doesn't count yet. If the request may
// not run again, the stream has all of the time left, because the endpoint may still continue it.
func (j *job) silenceTimeout(uncounted int) (timeout, busyWindow time.Duration) {
	if !j.route.Idempotent() || j.runs+uncounted >= max(1, j.route.Attempts) {
		return time.Until(j.deadline), 0
	}
	p := j.route.EventGapObjective
	if p == 0 {
		p = defaultEventGapObjective
	}
	timeout = time.Duration(silenceFactor * float64(p))
	return timeout, timeout / 2
}

// relayEvents passes on events until the end of the stream. It returns errCallerLeft if the caller has disconnected,
// errNotContinued if the events don't go on with the stream that has begun, errSuperseded if another attempt goes on with it, and
// otherwise why the stream broke off; see readEvents.
func (u *upstreamAttempt) relayEvents(w *silence) error {
	c := u.job.passed
	for {
		g := u.next(w)
		switch {
		case g.err == nil:
			if err := u.passEvent(g.event, w); err != nil {
				return err
			}
		case !errors.Is(g.err, io.EOF):
			return g.err
		case u.continues && u.job.passed == c:
			return errNotContinued // an earlier attempt broke off, so that nothing tells the end from a failure
		default:
			return nil
		}
	}
}

// passEvent passes a complete event on to the caller.
func (u *upstreamAttempt) passEvent(e []byte, w *silence) error {
	j := u.job
	if !hasData(e) && u.continues && !u.follows {
		u.hold(e)
		return nil
	}
	if hasData(e) && !u.mayFollow(e) {
		return errNotContinued
	}
	if hasData(e) {
		u.recordArrival(time.Now())
		u.follows = true
		j.dropSuccessor("the endpoint goes on")
	}
	b := e
	if len(u.held) > 0 {
		b, u.held = append(u.held, e...), nil
	}
	if j.write(b) != nil {
		return errCallerLeft
	}
	if !hasData(e) {
		return nil
	}
	j.passed++
	j.relay.Endpoints.RecordActivity(u.choice.ID, u.way, time.Now())
	if i, ok := eventID(e); ok || hasField(e, "data") {
		j.lastEventID = i
	}
	if j.lastEventAt.IsZero() {
		j.ttft = time.Since(j.request.Received)
		u.learnDuration(firstEventKey(j.route.Name, j.model()), time.Since(u.sent)-u.wait)
	} else {
		j.longestGap = max(j.longestGap, time.Since(j.lastEventAt))
	}
	j.lastEventAt = time.Now()
	u.linkLost = false
	w.end()
	return nil
}

// hold keeps comments of a resumed stream until its first event shows that the endpoint goes on with it. Comments beyond
// maxHeldBytes are left out: they carry no data.
func (u *upstreamAttempt) hold(comments []byte) {
	if len(u.held)+len(comments) <= maxHeldBytes {
		u.held = append(u.held, comments...)
	}
}

// hasField reports whether an event has a field.
func hasField(e []byte, name string) bool {
	for l := range bytes.Lines(e) {
		if bytes.HasPrefix(l, []byte(name+":")) {
			return true
		}
	}
	return false
}

// hasData reports whether what ends with an empty line holds more than comments. Only that is progress.
func hasData(e []byte) bool {
	for l := range bytes.Lines(e) {
		if l = bytes.TrimRight(l, "\r\n"); len(l) > 0 && l[0] != ':' {
			return true
		}
	}
	return false
}
