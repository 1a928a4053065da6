package relay

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
)

// onTrial reports whether a running rollout of the service judges the version of the endpoint.
func (u *upstreamAttempt) onTrial() bool {
	v, ok := u.job.relay.Endpoints.Rollout(u.job.service.Name)
	return ok && v.Outcome == canary.Running && u.choice.Version == v.Target
}

// tallyAnswer counts an answer or a failed run for the newest rollout of the service, if it runs.
func (u *upstreamAttempt) tallyAnswer(failed bool, wait time.Duration) {
	u.slow = canary.IsSlow(wait, u.choice.Expected)
	u.count(func(t canary.Tally) canary.Tally { return t.WithAnswer(failed, wait, u.choice.Expected) })
}

// tallyFault counts a failed run. A run without an answer is counted like one whose caller left if this host's own link may
// be the reason, since it says nothing about the version then.
func (u *upstreamAttempt) tallyFault(answered bool, wait time.Duration) {
	if !answered && u.linkDoubted() {
		u.count(canary.Tally.WithLeaver)
		return
	}
	u.tallyAnswer(true, wait)
}

// tallyLeaver counts a request whose caller left after wait: as a slow answer if it was one by then.
func (u *upstreamAttempt) tallyLeaver(wait time.Duration) {
	if canary.IsSlow(wait, u.choice.Expected) {
		u.tallyAnswer(false, wait)
		return
	}
	u.count(canary.Tally.WithLeaver)
}

// count changes the tally of the attempt for the newest rollout of the service, if it runs.
func (u *upstreamAttempt) count(change func(canary.Tally) canary.Tally) {
	j := u.job
	v, ok := j.relay.Endpoints.Rollout(j.service.Name)
	if !ok || v.Outcome != canary.Running {
		return
	}
	u.tally = canary.Tally{Serial: v.Serial, Version: u.choice.Version, Kind: j.kind(), Slice: v.Slice(v.Elapsed)}
	if u.choice.Version == v.Target {
		u.tally.Endpoint = u.choice.ID
	}
	j.relay.tallies.update(u.tally, change)
}

// tallyBreak counts an answer as failed that has broken off, if its start was counted.
func (u *upstreamAttempt) tallyBreak() {
	if u.tally.Serial > 0 && !u.linkDoubted() {
		u.job.relay.tallies.update(u.tally, func(t canary.Tally) canary.Tally { return t.WithLateFailure(u.slow) })
	}
}
