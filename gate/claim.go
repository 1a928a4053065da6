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
	// claimTimeout bounds the wait for the control log before a request is refused.
	claimTimeout = 3 * time.Second
	// claimEndTimeout bounds the wait for the control log after a request; it goes on in the background then.
	claimEndTimeout = 2 * time.Second
	// claimEndRetryTimeout is how long the end of a claim is tried in the background.
	claimEndRetryTimeout = time.Minute
	// maxStoredAnswerBytes bounds an answer that is stored for resends.
	maxStoredAnswerBytes = 64 << 10
)

// runClaimed runs a request at most once under its idempotency key: the right to run it is runClaimed in the
// control log first, and its outcome is stored there for resends.
func (g *Gate) runClaimed(ctx context.Context, w http.ResponseWriter, j *job, customer string, run func(http.ResponseWriter) model.Outcome) {
	s := g.router.State()
	b := config.Begin{
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

// refuseUnclaimed refuses a request whose claim could not be confirmed. This attempt has not run and won't;
// the claim is given back, should it have been made.
func (g *Gate) refuseUnclaimed(w http.ResponseWriter, b config.Begin, err error) {
	m := "the control log can't be asked, so this attempt was not run; what became of earlier attempts with the key is unknown; resend with the same key"
	f := unavailable("no-quorum", m, 2*retryDelay)
	g.countFailure(f)
	f.write(w, b.RequestID)
	if errors.Is(err, config.ErrNoLeader) {
		return
	}
	e := config.End{Customer: b.Customer, Key: b.Key, RequestID: b.RequestID, Outcome: model.OutcomeNotRun}
	r := claimEndRetry{g, e}
	go r.run()
}

// replay answers a resend from the claim of the first attempt.
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

// endClaim stores the outcome before the caller sees the end, as far as the control log answers in time.
func (g *Gate) endClaim(ctx context.Context, b config.Begin, o model.Outcome, t *recordingWriter) {
	e := config.End{Customer: b.Customer, Key: b.Key, RequestID: b.RequestID, Outcome: o}
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

// claimEndRetry tries to store the end of a claim in the background.
type claimEndRetry struct {
	gate *Gate
	end  config.End
}

func (e claimEndRetry) run() {
	c, f := context.WithTimeout(context.Background(), claimEndRetryTimeout)
	defer f()
	if _, err := e.gate.router.Propose(c, config.Command{End: &e.end}); err != nil {
		e.gate.log.WithError(err).WithField("request", e.end.RequestID).Warn("claim: the end was not stored, others settle it as unknown")
	}
}

// recordingWriter copies an answer for resends, and holds back the end of one that isn't streamed until it is stored.
type recordingWriter struct {
	http.ResponseWriter
	recorded   bytes.Buffer
	status     int
	overflowed bool
	// streamed is true once something was flushed to the caller.
	streamed bool
}

// WriteHeader notes the status; it is sent with the first flush or on release.
func (t *recordingWriter) WriteHeader(status int) { t.status = status }

// Write copies the answer, and passes it on once it is streamed or too long to hold.
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

func (t *recordingWriter) stopRecording() {
	t.overflowed = true
	if !t.streamed {
		t.ResponseWriter.WriteHeader(t.status)
		_, _ = t.ResponseWriter.Write(t.recorded.Bytes())
	}
	t.recorded.Reset()
}

// FlushError passes on what was written so far.
func (t *recordingWriter) FlushError() error {
	if !t.streamed && !t.overflowed {
		t.ResponseWriter.WriteHeader(t.status)
		_, _ = t.ResponseWriter.Write(t.recorded.Bytes())
	}
	t.streamed = true
	return http.NewResponseController(t.ResponseWriter).Flush()
}

// Unwrap lets deadlines reach the connection.
func (t *recordingWriter) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// sendHeld sends what was held back.
func (t *recordingWriter) sendHeld() {
	if t.streamed || t.overflowed || t.status == 0 {
		return
	}
	t.ResponseWriter.WriteHeader(t.status)
	_, _ = t.ResponseWriter.Write(t.recorded.Bytes())
}
