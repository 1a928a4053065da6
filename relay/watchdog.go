package relay

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// busyTimeoutFactor multiplies the timeout of the watchdog when it is extended for a busy endpoint.
const busyTimeoutFactor = 3

// watchdog cancels an attempt from which nothing was received for a timeout. The timeout is extended once if the
// endpoint has answered other requests in the meantime: the endpoint is busy then, and running the request a second
// time elsewhere would only add to the load. Before the timeout it looks after the link to the endpoint.
type watchdog struct {
	attempt *upstreamAttempt
	timeout time.Duration
	// limit is the time without a sign after which the attempt is cancelled, and heardAt is when the last sign came.
	limit   time.Duration
	heardAt time.Time
	// busyWindow is how recently the endpoint must have answered another request to count as busy. 0 turns the
	// extension off.
	busyWindow time.Duration
	lock       sync.Mutex
	timer      *time.Timer
	extended   bool
	// answering and runs are the job's when the watchdog was started, for the log.
	answering bool
	runs      int
	stopped   bool
}

// startWatchdog starts a watchdog that cancels the attempt after timeout.
func (u *upstreamAttempt) startWatchdog(timeout, busyWindow time.Duration) *watchdog {
	w := &watchdog{
		attempt: u, timeout: timeout, limit: timeout, busyWindow: busyWindow, heardAt: time.Now(),
		answering: u.job.answering, runs: u.job.runs,
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = time.AfterFunc(min(timeout, u.linkGrace()), w.expire)
	return w
}

// expire runs when the timer fires: it checks the link, extends the timeout or cancels the attempt.
func (w *watchdog) expire() {
	w.lock.Lock()
	defer w.lock.Unlock()
	q := time.Since(w.heardAt)
	switch {
	case w.stopped:
	case q < w.limit && w.attempt.checkLink(q):
		w.attempt.cancel()
	case q < w.limit:
		w.timer.Reset(min(w.limit-q, linkCheckInterval))
	case !w.extended && w.busyWindow > 0 && w.attempt.job.relay.Endpoints.ActiveSince(w.attempt.choice.ID, time.Now().Add(-w.busyWindow)):
		w.extended = true
		w.limit = q + busyTimeoutFactor*w.timeout
		w.timer.Reset(linkCheckInterval)
	default:
		w.attempt.log().WithFields(logrus.Fields{"silent": q.Milliseconds(), "answering": w.answering, "runs": w.runs}).Warn("attempt: given up, the endpoint is silent")
		w.attempt.cancel()
	}
}

// reset restarts the timeout after an event of the answer was received.
func (w *watchdog) reset() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.extended, w.limit, w.heardAt = false, w.timeout, time.Now()
	w.timer.Reset(min(w.timeout, eventLinkGrace))
}

// stop ends the watchdog. It does not cancel the attempt afterwards.
func (w *watchdog) stop() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.stopped = true
	w.timer.Stop()
}
