package relay

import (
	"maps"
	"sync"
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

// maxSerialGap is how far the serial of a rollout may lie behind the newest one before its tallies are dropped. A
// serial is an index in the control log, and rollouts of several services may run at once, so that older serials can
// still be in use.
const maxSerialGap = 1000

// tallies counts the answers during rollouts, by Tally.Key. It is safe for concurrent use.
type tallies struct {
	// serial is the highest serial of the rollouts that were counted.
	serial uint64
	lock   sync.Mutex
	byKey  map[string]canary.Tally
	// changed holds the keys of the tallies that have changed since the last call of take.
	changed map[string]bool
}

// update replaces the tally with the key of c by the result of change. change gets c if there is none yet.
func (t *tallies) update(c canary.Tally, change func(canary.Tally) canary.Tally) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if c.Serial > t.serial {
		t.serial = c.Serial
		maps.DeleteFunc(t.byKey, func(_ string, o canary.Tally) bool { return o.Serial+maxSerialGap < c.Serial })
	}
	k := c.Key()
	if o, ok := t.byKey[k]; ok {
		c = o
	}
	t.byKey[k] = change(c)
	if t.changed == nil {
		t.changed = map[string]bool{}
	}
	t.changed[k] = true
}

// take returns the tallies that changed since the last call and clears their change marks.
func (t *tallies) take() []canary.Tally {
	t.lock.Lock()
	defer t.lock.Unlock()
	var r []canary.Tally
	for k := range t.changed {
		r = append(r, t.byKey[k])
	}
	t.changed = nil
	return r
}

// markChanged marks tallies as changed again, after the exchange with a control host has failed.
func (t *tallies) markChanged(l []canary.Tally) {
	t.lock.Lock()
	defer t.lock.Unlock()
	if t.changed == nil {
		t.changed = map[string]bool{}
	}
	for _, c := range l {
		t.changed[c.Key()] = true
	}
}

// TakeTallies returns the rollout tallies that changed since the last call. The caller reports them to a control
// host, and calls RestoreTallies if that fails.
func (r *Relay) TakeTallies() []canary.Tally { return r.tallies.take() }

// RestoreTallies makes the next TakeTallies return tallies again that could not be reported.
func (r *Relay) RestoreTallies(l []canary.Tally) { r.tallies.markChanged(l) }

// markAllChanged marks all tallies of the given rollouts as changed, and deletes the others.
func (t *tallies) markAllChanged(running map[uint64]time.Duration) {
	t.lock.Lock()
	defer t.lock.Unlock()
	t.changed = map[string]bool{}
	maps.DeleteFunc(t.byKey, func(_ string, c canary.Tally) bool {
		_, ok := running[c.Serial]
		return !ok
	})
	for k := range t.byKey {
		t.changed[k] = true
	}
}

// ResendTallies makes the next TakeTallies return all tallies of running rollouts, for control hosts that may lack some of
// them.
func (r *Relay) ResendTallies() { r.tallies.markAllChanged(r.Endpoints.RolloutAges()) }
