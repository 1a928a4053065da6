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
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// silenceFactor is how many times the longest pause that is still on time a stream may be silent before it
	// goes on at another endpoint, and pauseOtherwise that pause where the route names none.
	silenceFactor         = 1.5
	defaultPauseObjective = time.Second
	// eventBufferBytes is the size of the buffer for events, in bytes.
	eventBufferBytes = 4096
)

// errCallerLeft is returned where the caller takes no more events.
var errCallerLeft = errors.New("the caller left; its request is over")

// relayStream passes events on as they come. Where the answer breaks off, the request goes on elsewhere behind
// the last whole event.
func (u *upstreamAttempt) relayStream(r Reply) nextStep {
	j := u.job
	if n, ok := j.escalationTier(r); ok {
		u.log().WithFields(logrus.Fields{"confidence": r.Confidence, "next": j.route.Sizes[n]}).Info("attempt: dropped for a larger model")
		j.tier = n
		return escalate
	}
	if !j.answerBegun {
		j.answerBegun, j.confidence = true, r.Confidence
		j.sink.Begin(r.Status, r.Header, -1)
	}
	w := u.startWatchdog(j.silenceTimeout())
	err := u.relayEvents(r.Body, w)
	w.stop()
	switch {
	case err == nil:
		j.relay.durations.add("hold "+j.route.Name, time.Since(u.sent))
		u.recordServed(r.Status)
		return done
	case errors.Is(err, errCallerLeft), j.callerContext.Err() != nil:
		return expired
	case time.Until(j.deadline) <= 0:
		return expired
	}
	j.tallyRollout(u, true, 0)
	b := j.relay.Endpoints.Faulty(u.choice.ID, time.Now())
	u.log().WithError(err).WithField("last-event", j.lastEventID).WithField("banned", b.Milliseconds()).Warn("attempt: the stream broke off")
	j.tried[u.choice.ID] = true
	return rerun
}

// silenceTimeout is how long the stream may pause, and how long ago its endpoint may have answered others to be given
// more time. Where no further run is allowed, the stream is left to its end: its endpoint may yet go on.
func (j *job) silenceTimeout() (timeout, busyWindow time.Duration) {
	if !j.route.Idempotent() || j.runs >= max(1, j.route.Attempts) {
		return time.Until(j.deadline), 0
	}
	p := j.route.PauseObjective
	if p == 0 {
		p = defaultPauseObjective
	}
	timeout = time.Duration(silenceFactor * float64(p))
	return timeout, timeout / 2
}

// escalationTier returns the size that is asked instead of the one that has begun to answer, where the answer isn't
// kept and another run is allowed.
func (j *job) escalationTier(r Reply) (int, bool) {
	if j.answerBegun || len(j.route.Sizes) == 0 || r.Confidence < 0 || !j.route.Idempotent() {
		return 0, false
	}
	n, ok := tiers.Next(j.tierRequest(), j.tier, r.Confidence)
	if ok && !j.relay.Budget.WithdrawOptional(j.service.Name) {
		j.noRetryReason = "spare budget"
		return 0, false
	}
	return n, ok
}

// relayEvents passes whole relayEvents on until the end of the body.
func (u *upstreamAttempt) relayEvents(body io.Reader, w *watchdog) error {
	j := u.job
	b := bufio.NewReaderSize(body, eventBufferBytes)
	var e []byte
	for {
		l, err := b.ReadSlice('\n')
		e = append(e, l...)
		if errors.Is(err, bufio.ErrBufferFull) && len(e) < maxEventBytes {
			continue
		}
		if err == nil && len(bytes.TrimRight(l, "\r\n")) > 0 && len(e) < maxEventBytes {
			continue
		}
		if err == nil {
			j.relay.Endpoints.Alive(u.choice.ID, time.Now())
			if err := j.sink.Write(e); err != nil {
				return errCallerLeft
			}
			if id, ok := eventID(e); ok {
				j.lastEventID = id
			}
			if j.lastEventAt.IsZero() {
				j.ttft = time.Since(j.request.Received)
			} else {
				j.longestPause = max(j.longestPause, time.Since(j.lastEventAt))
			}
			j.lastEventAt = time.Now()
			w.reset()
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
