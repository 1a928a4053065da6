package relay

import (
	"io"
	"time"
)

// sideBodyTimeout bounds the time in which the body of a refusal or a failure is read. Unless another attempt is open, the request
// waits for it.
const sideBodyTimeout = 500 * time.Millisecond

// sideBody is what was read of the body of a refusal or a failure, which isn't the answer that the caller waits for.
type sideBody struct {
	// failure is the failure, or nil. It has to be released.
	failure *bufferedReply
	err     error
}

// hasSideBody reports whether a reply is a refusal or a failure with a body.
func hasSideBody(r Reply) bool { return r.Body != nil && (r.Verdict == NotRun || r.Verdict == Failed) }

// readSideBody reads the body of a refusal or a failure, for sideBodyTimeout at most. Nothing is kept of a refusal.
func (u *upstreamAttempt) readSideBody(r Reply) *sideBody {
	t := time.AfterFunc(sideBodyTimeout, u.cancel)
	defer t.Stop()
	if r.Verdict == Failed {
		w, err := u.readReply(r)
		return &sideBody{w, err}
	}
	_, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxBufferedBytes+1))
	return &sideBody{err: err}
}

// release gives back the memory of a body that isn't used. A nil one has none.
func (b *sideBody) release() {
	if b != nil {
		b.failure.release()
	}
}

// handleSideBody logs a body that broke off, and keeps a failure as the answer for the case that no other attempt succeeds. It does
// nothing if there is no body.
func (u *upstreamAttempt) handleSideBody(b *sideBody) {
	if b == nil {
		return
	}
	u.recordFull(b.err, "failure")
	if b.err != nil {
		u.log().WithError(b.err).Debug("attempt: the body of a refusal or a failure broke off")
	}
	if b.failure == nil || b.err != nil || b.failure.body.Len() > maxBufferedBytes {
		b.release()
		return
	}
	u.job.lastFailure.release()
	u.job.lastFailure = b.failure
}
