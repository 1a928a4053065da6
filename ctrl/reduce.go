package ctrl

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// Reduce returns the state after an event at now, and what has to be done.
func Reduce(s State, now time.Duration, e Event) (State, []Effect) {
	t := &turn{State: s}
	t.Now = now
	switch v := e.(type) {
	case Tick:
		t.step(quorum.Tick{})
		t.lead()
		t.Fleet = t.Fleet.WithoutSilent(now - silentBeats*t.Heartbeat)
	case Messages:
		for _, m := range v.Messages {
			t.receive(m)
		}
	case Persisted:
		t.step(v.Persisted)
	case Reopened:
		t.reopen(v)
	case Asked:
		t.ask(v)
	case Reported:
		t.report(v.Report, true)
	case HostReported:
		t.hostReport(v.Report, true)
	case Noted:
		for _, r := range v.Note.Reports {
			t.report(r, false)
		}
		for _, r := range v.Note.Hosts {
			t.hostReport(r, false)
		}
	}
	t.settle()
	return t.State, t.effects
}

// turn collects the effects of one event.
type turn struct {
	State
	effects []Effect
}

func (t *turn) do(e Effect) { t.effects = append(t.effects, e) }

// step passes an input to the control log and applies what it committed.
func (t *turn) step(i quorum.Input) quorum.Entry {
	l, o := quorum.Step(t.Log, t.Now, i)
	t.Log = l
	if !o.Persist.Empty() || len(o.Messages) > 0 {
		t.do(Write{Persist: o.Persist, Messages: o.Messages})
	}
	for _, e := range o.Persist.Entries {
		t.written += len(e.Data)
	}
	if o.Restore != nil {
		t.restore(*o.Restore)
	}
	for _, e := range o.Committed {
		t.apply(e)
	}
	t.compact()
	return o.Proposed
}

func (t *turn) restore(s quorum.Snapshot) {
	m, err := t.Machine.Restored(s)
	if err != nil {
		t.do(Faulted{Err: err})
		return
	}
	t.Machine = m
	t.track()
}

func (t *turn) apply(e quorum.Entry) {
	m, err := t.Machine.WithEntry(e)
	if err != nil {
		t.do(Faulted{Err: err})
	}
	t.Machine = m
	t.track()
	t.waits = slices.DeleteFunc(slices.Clone(t.waits), func(w wait) bool {
		if w.index != e.Index || w.term != e.Term {
			return false
		}
		t.do(Answer{Ticket: w.ticket, Receipt: t.receipt(w.order)})
		return true
	})
}

// track notes when this host learned of each roll-out.
func (t *turn) track() {
	for k, r := range t.Machine.Rollouts {
		if b, ok := t.begun[k]; !ok || b.serial != r.Serial {
			t.begun = maps.Clone(t.begun)
			t.begun[k] = begun{serial: r.Serial, at: t.Now}
		}
	}
}

func (t *turn) compact() {
	if t.Log.Entries() < compactEntries && t.written < compactBytes || t.Machine.Applied <= t.Log.Snapshot.Index {
		return
	}
	if t.Log.Stable < t.Machine.Applied {
		return
	}
	b, err := json.Marshal(t.Machine)
	if err != nil {
		t.do(Faulted{Err: err})
		return
	}
	t.written = 0
	t.step(quorum.Compact{Index: t.Machine.Applied, Data: b})
}

func (t *turn) receive(m quorum.Message) {
	if m.Kind == quorum.Append && m.Term >= t.Log.Hard.Term {
		t.heardLeader = t.Now
		if t.goal == 0 {
			t.goal = max(m.Commit, 1)
		}
	}
	t.step(quorum.Receive{Message: m})
}

// reopen starts the log again from what the disk holds, as after a restart.
func (t *turn) reopen(r Reopened) {
	t.Log = t.Log.Reopened(r.Held.Hard, r.Held.Snapshot, r.Held.Entries, t.Now)
	t.restore(r.Held.Snapshot)
}

// settle answers the orders that this host can no longer carry out, and notes when it has caught up.
func (t *turn) settle() {
	if t.Log.Role != quorum.Leader {
		for _, w := range t.waits {
			t.do(Answer{Ticket: w.ticket})
		}
		t.waits = nil
	}
	if !t.Sure {
		t.Sure = t.Log.Ready(t.Now) || t.goal > 0 && t.Machine.Applied >= t.goal
	}
}

func (t *turn) report(r fleet.Report, own bool) {
	n, ok := t.Fleet.WithReport(r, t.Now)
	t.Fleet = n
	if ok && own {
		e, _ := n.Get(r.ID)
		t.do(Spread{Note: ctlrpc.Gossip{Reports: []fleet.Report{e.Report}}})
	}
}

func (t *turn) hostReport(r ctlrpc.HostReport, own bool) {
	o, ok := t.hosts.Get(r.Host)
	if ok && (r.Start < o.report.Start || r.Start == o.report.Start && r.Sequence <= o.report.Sequence) {
		return
	}
	n := host{report: r, tallies: o.tallies, heard: t.Now}
	if r.Start != o.report.Start {
		n.tallies = nil
	}
	if len(r.Tallies) > 0 {
		n.tallies = maps.Clone(n.tallies)
		if n.tallies == nil {
			n.tallies = map[string]canary.Tally{}
		}
		for _, c := range r.Tallies {
			n.tallies[c.Key()] = c
		}
		maps.DeleteFunc(n.tallies, func(_ string, c canary.Tally) bool { return !t.runs(c.Serial) })
	}
	if n.report.Reads == nil {
		n.report.Reads = o.report.Reads
	}
	if !ok {
		t.forgetHosts()
	}
	n.report.Tallies = nil
	t.hosts = t.hosts.Set(r.Host, n)
	if own {
		t.do(Spread{Note: ctlrpc.Gossip{Hosts: []ctlrpc.HostReport{r}}})
	}
}

// forgetHosts drops entry hosts that have been silent for long.
func (t *turn) forgetHosts() {
	for i := t.hosts.Iterator(); !i.Done(); {
		if n, h, _ := i.Next(); h.heard+forgetAfter < t.Now {
			t.hosts = t.hosts.Delete(n)
		}
	}
}

// runs reports whether a roll-out is the newest of its service.
func (t *turn) runs(serial uint64) bool {
	for _, r := range t.Machine.Rollouts {
		if r.Serial == serial {
			return true
		}
	}
	return false
}
