package relay

import (
	"errors"
	"io"
	"time"

	"github.com/hickoryshelf/hickoryshelf/memory"
)

const (
	// maxAnswerBytes bounds an answer whose head names no length.
	maxAnswerBytes = 64 << 20
	// maxBufferedBytes is the largest body of a plain answer that is read to its end before it is passed on. The
	// request can still be repeated while the body is read.
	maxBufferedBytes = 512 << 10
)

// bufferedReply is an answer whose body, or the first maxBufferedBytes+1 bytes of it, was read.
type bufferedReply struct {
	status int
	reply  Reply
	body   *memory.Buffer
}

// release gives back the memory of a buffered answer. A nil one has none.
func (w *bufferedReply) release() {
	if w != nil {
		w.body.Release()
	}
}

// readReply reads up to maxBufferedBytes+1 bytes of an answer, so that a longer body is recognised by its length. It
// returns io.ErrUnexpectedEOF if there is no body. With a *memory.FullError it returns what was read: the rest can still be
// passed on. The result has to be released.
func (u *upstreamAttempt) readReply(r Reply) (*bufferedReply, error) {
	if r.Body == nil {
		return nil, io.ErrUnexpectedEOF
	}
	w := &bufferedReply{status: r.Status, reply: r, body: u.newBuffer()}
	err := w.body.Count(memory.HeaderBytes(r.Header))
	if err == nil {
		err = w.body.Fill(r.Body, maxBufferedBytes+1)
	}
	if err != nil && !isFull(err) {
		w.release()
		return nil, err
	}
	return w, err
}

// errTooLong means that an endpoint's answer exceeds a bound on its size.
var errTooLong = errors.New("the endpoint's answer is too long; it is given up")

// deliver passes a buffered answer on to the caller.
func (j *job) deliver(w *bufferedReply) error {
	j.answerBegun = true
	j.sink.Begin(w.status, w.reply.Header, int64(w.body.Len()))
	return j.write(w.body.Bytes())
}

// relayPlain passes on an answer that is not a stream. A body of up to maxBufferedBytes is read to its end first, and
// the attempt may be repeated if it breaks off; a longer body, or one that takes too much memory, is passed on as it arrives.
func (u *upstreamAttempt) relayPlain(r Reply) nextStep {
	j := u.job
	w, err := u.readReply(r)
	defer w.release()
	u.recordFull(err, "plain")
	if err != nil && w == nil {
		u.tallyBreak()
		u.log().WithError(err).Warn("attempt: the answer broke off")
		j.tried[u.choice.ID] = true
		u.recordBreak(err)
		return rerun
	}
	u.learnDuration(holdKey(j.route.Name, j.model()), time.Since(u.sent))
	if err == nil && w.body.Len() <= maxBufferedBytes {
		if j.deliver(w) != nil {
			u.recordComplete(w.status)
			return ended
		}
		u.recordServed(w.status)
		return done
	}
	return u.passOn(w)
}

// passOn passes on what was read of an answer, and then the rest as it arrives.
func (u *upstreamAttempt) passOn(w *bufferedReply) nextStep {
	j := u.job
	j.answerBegun = true
	j.sink.Begin(w.status, w.reply.Header, w.reply.Length)
	if j.write(w.body.Bytes()) != nil {
		return ended
	}
	w.release()
	if !u.copyRest(w.reply) {
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
		u.blame(err)
	}
	return err == nil
}

// blame counts a fault of an endpoint whose answer exceeds maxAnswerBytes.
func (u *upstreamAttempt) blame(err error) {
	if errors.Is(err, errTooLong) {
		u.job.relay.Endpoints.RecordFault(u.choice.ID, u.way, time.Now())
	}
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
