package gate

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	// claimTimeout bounds the wait for the control log to grant a claim; after it the request is refused.
	claimTimeout = 3 * time.Second
	// claimEndTimeout bounds how long the end of an answer waits until the outcome is stored in the control
	// log. After it, storing is retried in the background.
	claimEndTimeout = 2 * time.Second
	// claimEndRetryTimeout bounds the background attempts to store the end of a claim.
	claimEndRetryTimeout = time.Minute
	// maxStoredAnswerBytes bounds the answers that are stored for resends. Longer answers are delivered, but
	// not stored.
	maxStoredAnswerBytes = 64 << 10
)

// runClaimed runs a request at most once per idempotency key. The right to run it is claimed in the control
// log before run is called, and the outcome is stored there, so that a resend gets the stored answer.
func (g *Gate) runClaimed(ctx context.Context, w http.ResponseWriter, j *job, customer string, run func(http.ResponseWriter) model.Outcome) {
	s := g.router.State()
	b := config.BeginClaim{
		Customer: customer, Key: j.request.idempotencyKey, Fingerprint: j.request.fingerprint, RequestID: j.request.id,
		Host: s.Members.Self.Name, Incarnation: s.Members.Self.Incarnation,
	}
	c, f := context.WithTimeout(ctx, claimTimeout)
	defer f()
	r, err := g.router.Propose(c, config.Command{Begin: &b})
	switch {
	case err != nil:
		g.refuseUnclaimed(w, b, err)
	case r.Verdict == config.VerdictRejected:
		(&failure{status: http.StatusUnprocessableEntity, code: "key-reused", message: r.Message, outcome: model.OutcomeNotRun}).write(w, j.request.id)
	case !r.Granted:
		g.replay(w, r.Claim)
	default:
		t := &recordingWriter{ResponseWriter: w}
		o := run(t)
		g.endClaim(ctx, b, o, t)
		t.sendHeld()
	}
}

// refuseUnclaimed refuses a request whose claim could not be confirmed. The attempt is not run. If the claim
// may have been committed nevertheless (any error but config.ErrNoLeader), it is released in the background.
func (g *Gate) refuseUnclaimed(w http.ResponseWriter, b config.BeginClaim, err error) {
	m := "the control log can't be asked, so this attempt was not run; what became of earlier attempts with the key is unknown; resend with the same key"
	f := unavailable("no-quorum", m, 2*retryDelay)
	g.countFailure(f)
	f.write(w, b.RequestID)
	if errors.Is(err, config.ErrNoLeader) {
		return
	}
	e := config.EndClaim{Customer: b.Customer, Key: b.Key, RequestID: b.RequestID, Outcome: model.OutcomeNotRun}
	r := claimEndRetry{g, e}
	go r.run()
}

// replay answers a resend from the claim of the first attempt: with the stored answer, or with status 409 if
// the first attempt is in progress, its answer was too long to store or its outcome is unknown.
func (g *Gate) replay(w http.ResponseWriter, c config.Claim) {
	e := c.End
	switch {
	case c.State == config.ClaimBegun:
		m := "the request with this key is running or its host was lost; ask again with the same key"
		(&failure{status: http.StatusConflict, code: "in-progress", message: m, outcome: model.OutcomeUnknown, retryAfter: retryDelay}).write(w, c.Begin.RequestID)
	case e.Outcome == model.OutcomeRan && len(e.Body) > 0:
		h := w.Header()
		h.Set("Content-Type", e.ContentType)
		h.Set(HeaderReplayed, "true")
		h.Set(HeaderRequestID, e.RequestID)
		h.Set(HeaderOutcome, e.Outcome.String())
		w.WriteHeader(e.Status)
		_, _ = w.Write(e.Body)
	case e.Outcome == model.OutcomeRan:
		m := "the request with this key ran and its answer was too long to be stored; send a new request under a new key"
		(&failure{status: http.StatusConflict, code: "already-ran", message: m, outcome: model.OutcomeRan}).write(w, e.RequestID)
	default:
		m := "whether the request with this key ran is unknown; look it up at the service before you use a new key"
		(&failure{status: http.StatusConflict, code: "unknown-outcome", message: m, outcome: model.OutcomeUnknown}).write(w, e.RequestID)
	}
}

// endClaim stores the outcome in the control log, and the answer if it ran and was short enough. It is called
// before the caller sees the end of the answer. If the control log doesn't confirm within claimEndTimeout,
// storing is retried in the background; the request's context isn't used for it, as the caller may be gone.
func (g *Gate) endClaim(ctx context.Context, b config.BeginClaim, o model.Outcome, t *recordingWriter) {
	e := config.EndClaim{Customer: b.Customer, Key: b.Key, RequestID: b.RequestID, Outcome: o}
	if o == model.OutcomeRan && !t.overflowed {
		e.Status, e.ContentType, e.Body = t.status, t.Header().Get("Content-Type"), t.recorded.Bytes()
	}
	c, f := context.WithTimeout(context.WithoutCancel(ctx), claimEndTimeout)
	defer f()
	if _, err := g.router.Propose(c, config.Command{End: &e}); err != nil {
		r := claimEndRetry{g, e}
		go r.run()
	}
}

// claimEndRetry stores the end of a claim in the background.
type claimEndRetry struct {
	gate *Gate
	end  config.EndClaim
}

// run proposes the end of the claim until it is stored or claimEndRetryTimeout is over.
func (e claimEndRetry) run() {
	c, f := context.WithTimeout(context.Background(), claimEndRetryTimeout)
	defer f()
	if _, err := e.gate.router.Propose(c, config.Command{End: &e.end}); err != nil {
		e.gate.log.WithError(err).WithField("request", e.end.RequestID).Warn("claim: the outcome could not be stored in the control log; the claim will be settled as unknown by other hosts")
	}
}

// recordingWriter records an answer for resends. An answer that isn't streamed is held back until sendHeld, so
// that its outcome is stored before the caller sees it.
type recordingWriter struct {
	http.ResponseWriter
	// recorded is the answer so far; it is empty once overflowed is true.
	recorded bytes.Buffer
	status   int
	// overflowed is true once the answer is longer than maxStoredAnswerBytes; it is passed on unrecorded then.
	overflowed bool
	// streamed is true once the writer was flushed; from then on the answer is no longer held back.
	streamed bool
}

// WriteHeader keeps the status until the answer is passed on: at the first flush, when it overflows or by
// sendHeld.
func (t *recordingWriter) WriteHeader(status int) { t.status = status }

// Write records the answer, and passes it on if it is streamed or too long to record.
func (t *recordingWriter) Write(b []byte) (int, error) {
	if t.status == 0 {
		t.status = http.StatusOK
	}
	if !t.overflowed && t.recorded.Len()+len(b) > maxStoredAnswerBytes {
		t.stopRecording()
	}
	if !t.overflowed {
		t.recorded.Write(b)
	}
	if t.streamed || t.overflowed {
		return t.ResponseWriter.Write(b)
	}
	return len(b), nil
}

// stopRecording passes on what was recorded and discards the record.
func (t *recordingWriter) stopRecording() {
	t.overflowed = true
	if !t.streamed {
		t.ResponseWriter.WriteHeader(t.status)
		_, _ = t.ResponseWriter.Write(t.recorded.Bytes())
	}
	t.recorded.Reset()
}

// FlushError passes on everything written so far and marks the answer as streamed.
func (t *recordingWriter) FlushError() error {
	if !t.streamed && !t.overflowed {
		t.ResponseWriter.WriteHeader(t.status)
		_, _ = t.ResponseWriter.Write(t.recorded.Bytes())
	}
	t.streamed = true
	return http.NewResponseController(t.ResponseWriter).Flush()
}

// Unwrap returns the underlying writer, so that http.ResponseController can set deadlines on the connection.
func (t *recordingWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// sendHeld sends an answer that was held back; it does nothing if the answer was already passed on.
func (t *recordingWriter) sendHeld() {
	if t.streamed || t.overflowed || t.status == 0 {
		return
	}
	t.ResponseWriter.WriteHeader(t.status)
	_, _ = t.ResponseWriter.Write(t.recorded.Bytes())
}
