package gate

import (
	"bytes"
	"context"
	"errors"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/core"
)

const (
	// successorInterval is the interval at which another endpoint is looked for while that of an attempt stays silent.
	successorInterval = 2 * time.Second
	// maxHeldSignals bounds the chunks without a part of the answer that are kept of a successor. Further ones are left out.
	maxHeldSignals = 16
	// maxHeldBytes bounds these chunks together.
	maxHeldBytes = 16 << 10
)

var (
	errSuperseded = errors.New("the endpoint is silent, and another one goes on with the answer")
	errSlow       = errors.New("the endpoint sent nothing for too long")
)

// method says how the attempts of a request are made and how long they may be silent.
type method struct {
	// call returns the call of the next attempt. What the decision says of it is filled in later.
	call func() (call, error)
	// repeatable reports whether the request may be sent again though it may have started.
	repeatable func() bool
	// begun reports whether the caller has received a part of the answer.
	begun func() bool
	// check returns the result of an answer that isn't streamed, received by the attempt with an id. It is nil for streams.
	check func(id string, g signal) attemptResult
	// complete returns the result of the current attempt if its stream ends now. It is set for streams only.
	complete func() attemptResult
	// silence is the time without a part of the answer after which another attempt is made beside the first.
	silence time.Duration
}

// start makes the current attempt with the call of the job's method.
func (j *job) start() error {
	c, err := j.method.call()
	if err != nil {
		return err
	}
	j.current.start(c, j.method.check == nil)
	j.silence = time.NewTimer(j.method.silence)
	return nil
}

// next waits for the next signal of the current attempt. While that attempt is silent, next makes another attempt beside it,
// the successor, and closes the current one only once the successor goes on with the answer, which makes it the current one.
// An attempt with which nothing else may go on is waited for until it ends, its connection fails or the caller leaves; it
// fails with errSlow where the caller can get an answer that is kept instead.
func (j *job) next(ctx context.Context) signal {
	for {
		if c := j.current; len(c.received) > 0 {
			g := c.received[0]
			c.received = c.received[1:]
			return g
		}
		select {
		case g := <-j.current.signals:
			if g = j.checked(j.current, g); !j.handOver(g) {
				return g
			}
		case g := <-j.successor.incoming():
			j.handleSuccessor(j.checked(j.successor, g))
		case <-j.silence.C:
			if j.kept != nil && !j.method.begun() {
				j.dropSuccessor(nil)
				return signal{result: &attemptResult{ending: core.EndedFailed, mayHaveStarted: true, err: errSlow}}
			}
			j.seekSuccessor(ctx)
			j.silence.Reset(successorInterval)
		}
	}
}

// incoming returns the channel of the attempt's signals. A nil attempt has none.
func (a *attempt) incoming() <-chan signal {
	if a == nil {
		return nil
	}
	return a.signals
}

// checked returns a signal with the result that the job's method finds for an answer that isn't streamed, or for a chunk that isn't
// one of the attempt's answer. Only chunks without a result are progress.
func (j *job) checked(a *attempt, g signal) signal {
	switch {
	case g.response != nil:
		e := j.method.check(a.request.ID, g)
		g.result = &e
	case g.data != nil:
		g.result = j.checkedChunk(a, g.data)
	}
	return g
}

// checkedChunk returns the result of an attempt whose stream has a chunk of another answer, or ends before its answer does, and nil
// otherwise.
func (j *job) checkedChunk(a *attempt, chunk []byte) *attemptResult {
	if a == j.current && bytes.Equal(chunk, doneData) {
		if e := j.method.complete(); !e.succeeded() {
			return &e
		}
		return nil
	}
	if _, ok := cutID(chunk, a.request.ID); !ok {
		return &attemptResult{ending: core.EndedFaulty, mayHaveStarted: true, err: errForeignChunk}
	}
	return nil
}

// handOver reports whether the signal of the current attempt concerns only the attempts: its decision, or a failure after
// which the successor, if there is one, goes on. A part of the answer, or its end, ends the successor and the silence.
func (j *job) handOver(g signal) bool {
	s := j.successor
	switch {
	case g.decided:
		j.current.placed, j.decision = true, j.current.decision
		return true
	case s != nil && g.result != nil && !g.result.succeeded() && g.result.ending != core.EndedCancelled:
		j.finish(*g.result)
		j.exclude = append(j.exclude, j.current.decision.Endpoint.ID)
		j.promote()
		return true
	case g.result == nil && (g.data == nil || !hasPart(g.data)):
		return false // that is no progress
	}
	j.dropSuccessor(nil)
	j.silence.Reset(j.method.silence)
	return false
}

// promote makes the successor the current attempt, after the one before it was finished.
func (j *job) promote() {
	j.current, j.successor = j.successor, nil
	if j.current.placed {
		j.decision = j.current.decision
	}
	j.silence.Reset(j.method.silence)
}

// seekSuccessor makes another attempt beside the current one, if the request may be sent again. A successor that was silent
// for as long makes room for one at another endpoint.
func (j *job) seekSuccessor(ctx context.Context) {
	if !j.current.placed || !j.method.repeatable() || j.attempts+1 >= maxAttempts {
		return
	}
	if s := j.successor; s != nil {
		if time.Since(j.successorSince) < j.method.silence || j.attempts+2 >= maxAttempts {
			return
		}
		j.dropSuccessor(errSlow)
	}
	c, err := j.method.call()
	if err != nil {
		return
	}
	a := j.newAttempt(ctx, true)
	a.request.ExcludeEndpoints = append(slices.Clone(j.exclude), j.current.decision.Endpoint.ID)
	j.successor, j.successorSince = a, time.Now()
	a.start(c, j.method.check == nil)
}

// handleSuccessor takes a signal of the successor. The successor becomes the current attempt once it goes on with the answer;
// if it can't, it is dropped.
func (j *job) handleSuccessor(g signal) {
	s := j.successor
	switch {
	case g.decided:
		s.placed, j.successorSince = true, time.Now()
		j.gate.log.WithField("request", j.request.id).WithField("attempt", s.request.ID).WithField("endpoint", s.decision.Endpoint.ID).
			Info("gate: the endpoint is silent, another one is asked")
	case g.result != nil && g.result.succeeded():
		j.supersede(g)
	case g.result != nil:
		j.failSuccessor(*g.result)
	case g.data != nil:
		j.handleSuccessorChunk(g)
	}
}

// handleSuccessorChunk takes a chunk of the successor's stream. The successor goes on with the answer once it has sent a part
// of it.
func (j *job) handleSuccessorChunk(g signal) {
	s := j.successor
	if hasPart(g.data) {
		j.supersede(g)
		return
	}
	if n := s.heldBytes + len(g.data); len(s.received) < maxHeldSignals && n <= maxHeldBytes {
		s.received, s.heldBytes = append(s.received, g), n
	}
}

// supersede closes the current attempt, which makes the successor the current one. g is the successor's last signal.
func (j *job) supersede(g signal) {
	s, n := j.successor, j.usage.OutputTokens
	if g.response != nil {
		n = 0 // the usage is the successor's
	}
	s.received = append(s.received, g)
	j.gate.log.WithField("request", j.request.id).WithField("attempt", j.current.request.ID).WithField("successor", s.request.ID).
		Warn("gate: an attempt is given up, another endpoint goes on")
	j.finishAttempt(j.current, attemptResult{ending: core.EndedFailed, mayHaveStarted: true, err: errSuperseded}, n)
	j.exclude = append(j.exclude, j.current.decision.Endpoint.ID)
	j.promote()
}

// failSuccessor drops a successor that can't go on with the answer.
func (j *job) failSuccessor(e attemptResult) {
	s := j.successor
	j.successor = nil
	if e.refusal != nil {
		s.close()
		return
	}
	j.exclude = append(j.exclude, s.decision.Endpoint.ID)
	j.finishAttempt(s, e, 0)
	j.gate.log.WithField("request", j.request.id).WithField("attempt", s.request.ID).WithError(e.err).
		Warn("gate: an attempt beside a silent one failed")
}

// dropSuccessor cancels the successor, if there is one. It may have run. why is why the successor failed, or nil if the current
// attempt goes on.
func (j *job) dropSuccessor(why error) {
	s := j.successor
	if s == nil {
		return
	}
	j.successor = nil
	s.close()
	if !s.decided {
		return
	}
	e := attemptResult{ending: core.EndedCancelled, mayHaveStarted: true, err: why}
	if why != nil {
		e.ending = core.EndedFailed
		j.exclude = append(j.exclude, s.decision.Endpoint.ID)
	}
	j.finishAttempt(s, e, 0)
}
