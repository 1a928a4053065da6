package relay

import (
	"errors"
	"io"
	"time"
)

const (
	// maxAnswerBytes bounds an answer whose head names no length.
	maxAnswerBytes = 64 << 20
	// sideBodyTimeout bounds the time in which the body of a refusal or a failure is read. The request waits for it.
	sideBodyTimeout = 500 * time.Millisecond
	// maxBufferedBytes is the largest body of a plain answer that is read to its end before it is passed on. The
	// request can still be repeated while the body is read.
	maxBufferedBytes = 512 << 10
)

// bufferedReply is an answer whose body, or the first maxBufferedBytes+1 bytes of it, was read.
type bufferedReply struct {
	status int
	reply  Reply
	body   []byte
}

// readReply reads up to maxBufferedBytes+1 bytes of an answer, so that a longer body is recognised by its length. It
// returns io.ErrUnexpectedEOF if there is no body.
func readReply(r Reply) (*bufferedReply, error) {
	if r.Body == nil {
		return nil, io.ErrUnexpectedEOF
	}
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBufferedBytes+1))
	if err != nil {
		return nil, err
	}
	return &bufferedReply{status: r.Status, reply: r, body: b}, nil
}

// readSideBody reads the body of an answer that isn't the one that the caller waits for, for sideBodyTimeout at most.
func (u *upstreamAttempt) readSideBody(r Reply) (*bufferedReply, error) {
	t := time.AfterFunc(sideBodyTimeout, u.cancel)
	defer t.Stop()
	b, err := readReply(r)
	if err == nil && len(b.body) > maxBufferedBytes {
		return nil, errTooLong
	}
	return b, err
}

// errTooLong means that an endpoint's answer exceeds a bound on its size.
var errTooLong = errors.New("the endpoint's answer is too long; it is given up")

// deliver passes a buffered answer on to the caller.
func (j *job) deliver(w *bufferedReply) error {
	j.answerBegun = true
	j.sink.Begin(w.status, w.reply.Header, int64(len(w.body)))
	return j.write(w.body)
}

// relayPlain passes on an answer that is not a stream. A body of up to maxBufferedBytes is read to its end first, and
// the attempt may be repeated if it breaks off; a longer body is passed on as it arrives.
func (u *upstreamAttempt) relayPlain(r Reply) nextStep {
	j := u.job
	w, err := readReply(r)
	if err != nil {
		u.tallyBreak()
		u.log().WithError(err).Warn("attempt: the answer broke off")
		j.tried[u.choice.ID] = true
		u.recordBreak(err)
		return rerun
	}
	u.learnDuration(holdKey(j.route.Name, j.model()), time.Since(u.sent))
	if len(w.body) <= maxBufferedBytes {
		if j.deliver(w) != nil {
			u.recordComplete(w.status)
			return ended
		}
		u.recordServed(w.status)
		return done
	}
	j.answerBegun = true
	j.sink.Begin(w.status, w.reply.Header, r.Length)
	if j.write(w.body) != nil || !u.copyRest(r) {
		return ended
	}
	u.recordServed(w.status)
	return done
}

// copyRest passes on the rest of a long answer. It reports false if the answer ends early.
func (u *upstreamAttempt) copyRest(r Reply) bool {
	err := copyBounded(callerWriter{u.job}, r)
	if err != nil && u.job.writeError == nil {
		u.job.noteBreak(err)
		u.log().WithError(err).Warn("attempt: the answer broke off")
	}
	return err == nil
}

// copyBounded copies the rest of an answer, up to maxAnswerBytes if the answer names no length.
func copyBounded(w io.Writer, r Reply) error {
	b := r.Body.(io.Reader)
	if r.Length < 0 {
		b = io.LimitReader(r.Body, maxAnswerBytes+1)
	}
	n, err := io.Copy(w, b)
	if err == nil && r.Length < 0 && n > maxAnswerBytes {
		return errTooLong
	}
	return err
}

// callerWriter is an io.Writer that writes to the caller of a job.
type callerWriter struct{ job *job }

func (w callerWriter) Write(b []byte) (int, error) { return len(b), w.job.write(b) }
