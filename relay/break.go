package relay

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"
)

// probeTimeout bounds the wait for the answer to a probe. It adds to the time until the request is sent again.
const probeTimeout = 60 * time.Millisecond

// recordBreak finds out whether the endpoint has ended after an attempt broke off there, and logs it with what was in
// flight. An attempt that this host cancelled itself tells nothing about the endpoint.
func (u *upstreamAttempt) recordBreak(cause error) {
	if u.context.Err() != nil {
		return
	}
	c, f := context.WithTimeout(u.context, probeTimeout)
	defer f()
	l := u.job.relay.Sender.Probe(c, u.choice.Address)
	u.log().WithError(cause).WithFields(logrus.Fields{
		"born": u.choice.Born, "liveness": l.String(), "answering": u.job.answering, "parts": u.job.request.Prompt.sharedParts(),
	}).Warn("attempt: broken off in flight")
}

// sharedParts returns the IDs of the parts that other requests may have in common with this one: all but the last.
func (p Prompt) sharedParts() []string {
	var r []string
	for k := range max(0, len(p.Parts)-1) {
		r = append(r, p.Parts[k].ID)
	}
	return r
}
