package relay

import (
	"errors"
	"fmt"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/memory"
)

// newBuffer returns a buffer for the attempt's answer.
func (u *upstreamAttempt) newBuffer() *memory.Buffer {
	return u.job.relay.Memory.NewBuffer(u.choice.ID)
}

// isFull reports whether an error means that an answer takes too much memory.
func isFull(err error) bool {
	var f *memory.FullError
	return errors.As(err, &f)
}

// recordFull logs and counts an answer of a kind that takes too much memory. It does nothing for other errors.
func (u *upstreamAttempt) recordFull(err error, kind string) {
	var f *memory.FullError
	if !errors.As(err, &f) {
		return
	}
	u.job.relay.Metrics.GetOrCreateCounter(fmt.Sprintf("answers_over_memory_total{kind=%q}", kind)).Inc()
	u.log().WithFields(logrus.Fields{"kind": kind, "bytes": f.Bytes, "kept": f.Taken, "own-limit": f.Own}).Warn("attempt: the answer takes too much memory")
}
