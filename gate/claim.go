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
	// claimWait bounds the wait for the control log before a request is refused.
	claimWait = 3 * time.Second
	// endWait bounds the wait for the control log after a request; it goes on in the background then.
	endWait = 2 * time.Second
	// endRetry is how long the end of a claim is tried in the background.
	endRetry = time.Minute
	// maxStoredBytes bounds an answer that is stored for resends.
	maxStoredBytes = 64 << 10
)

// claimed runs a request at most once under its idempotency key: the right to run it is claimed in the
// control log first, and its outcome is stored there for resends.
func (g *Gate) claimed(ctx context.Context, w http.ResponseWriter, j *job, customer string, run func(http.ResponseWriter) model.Outcome) {
	s := g.router.State()
	b := config.BeginClaim{
		Customer: customer, Key: j.x.key, Fingerprint: j.x.fingerprint, RequestID: j.x.id,
		Host: s.Members.Self.Name, Incarnation: s.Members.Self.Incarnation,
	}
	c, f := context.WithTimeout(ctx, claimWait)
	defer f()
	r, err := g.router.Propose(c, config.Command{Begin: &b})
	switch {
	case err != nil:
		g.refuseUnclaimed(w, b, err)
	case r.Verdict == config.VerdictRejected:
		(&failure{status: http.StatusUnprocessableEntity, code: "key-reused", message: r.Message, outcome: model.OutcomeNotRun}).write(w, j.x.id)
	case !r.Granted:
		g.replay(w, r.Claim)
	default:
		t := &tee{ResponseWriter: w}
		o := run(t)
		g.endClaim(ctx, b, o, t)
		t.release()
	}
}

// refuseUnclaimed refuses a request whose claim could not be confirmed. This attempt has not run and won't;
// the claim is given back, should it have been made.
func (g *Gate) refuseUnclaimed(w http.ResponseWriter, b config.BeginClaim, err error) {
	m := "the control log can't be asked, so this attempt was not run; what became of earlier attempts with the key is unknown; resend with the same key"
	f := unavailable("no-quorum", m, 2*comeBack)
	g.count(f)
	f.write(w, b.RequestID)
	if errors.Is(err, config.ErrNoLeader) {
		return
	}
	e := config.EndClaim{Customer: b.Customer, Key: b.Key, RequestID: b.RequestID, Outcome: model.OutcomeNotRun}
	r := endJob{g, e}
	go r.run()
}

// replay answers a resend from the claim of the first attempt.
func (g *Gate) replay(w http.ResponseWriter, c config.Claim) {
	e := c.End
	switch {
	case c.State == config.ClaimBegun:
		m := "the request with this key is running or its host was lost; ask again with the same key"
		(&failure{status: http.StatusConflict, code: "in-progress", message: m, outcome: model.OutcomeUnknown, retryAfter: comeBack}).write(w, c.Begin.RequestID)
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
func (g *Gate) endClaim(ctx context.Context, b config.BeginClaim, o model.Outcome, t *tee) {
	e := config.EndClaim{Customer: b.Customer, Key: b.Key, RequestID: b.RequestID, Outcome: o}
	if o == model.OutcomeRan && !t.long {
		e.Status, e.ContentType, e.Body = t.status, t.Header().Get("Content-Type"), t.copy.Bytes()
	}
	c, f := context.WithTimeout(context.WithoutCancel(ctx), endWait)
	defer f()
	if _, err := g.router.Propose(c, config.Command{End: &e}); err != nil {
		r := endJob{g, e}
		go r.run()
	}
}

// endJob tries to store the end of a claim in the background.
type endJob struct {
	gate *Gate
	end  config.EndClaim
}

func (e endJob) run() {
	c, f := context.WithTimeout(context.Background(), endRetry)
	defer f()
	if _, err := e.gate.router.Propose(c, config.Command{End: &e.end}); err != nil {
		e.gate.log.WithError(err).WithField("request", e.end.RequestID).Warn("claim: the end was not stored, others settle it as unknown")
	}
}

// tee copies an answer for resends, and holds back the end of one that isn't streamed until it is stored.
type tee struct {
	http.ResponseWriter
	copy   bytes.Buffer
	status int
	long   bool
	// streamed is true once something was flushed to the caller.
	streamed bool
}

// WriteHeader notes the status; it is sent with the first flush or on release.
func (t *tee) WriteHeader(status int) { t.status = status }

// Write copies the answer, and passes it on once it is streamed or too long to hold.
func (t *tee) Write(b []byte) (int, error) {
	if t.status == 0 {
		t.status = http.StatusOK
	}
	if !t.long && t.copy.Len()+len(b) > maxStoredBytes {
		t.overflow()
	}
	if !t.long {
		t.copy.Write(b)
	}
	if t.streamed || t.long {
		return t.ResponseWriter.Write(b)
	}
	return len(b), nil
}

func (t *tee) overflow() {
	t.long = true
	if !t.streamed {
		t.ResponseWriter.WriteHeader(t.status)
		_, _ = t.ResponseWriter.Write(t.copy.Bytes())
	}
	t.copy.Reset()
}

// FlushError passes on what was written so far.
func (t *tee) FlushError() error {
	if !t.streamed && !t.long {
		t.ResponseWriter.WriteHeader(t.status)
		_, _ = t.ResponseWriter.Write(t.copy.Bytes())
	}
	t.streamed = true
	return http.NewResponseController(t.ResponseWriter).Flush()
}

// Unwrap lets deadlines reach the connection.
func (t *tee) Unwrap() http.ResponseWriter { return t.ResponseWriter }

// release sends what was held back.
func (t *tee) release() {
	if t.streamed || t.long || t.status == 0 {
		return
	}
	t.ResponseWriter.WriteHeader(t.status)
	_, _ = t.ResponseWriter.Write(t.copy.Bytes())
}
