package ctrl

import (
	"path/filepath"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/canary"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/store"
)

// logAssessment returns a log entry with a rollout and the evidence about it. elapsed is in ms.
func (h *Host) logAssessment(r canary.Rollout, elapsed time.Duration, a canary.Assessment) *logrus.Entry {
	return h.log.WithFields(logrus.Fields{
		"service": r.Service, "target": r.Target, "serial": r.Serial, "elapsed": elapsed.Milliseconds(), "log-odds": a.LogOdds, "suspicion": a.Suspicion,
		"answers": a.Answers, "bad": a.Bad, "other-answers": a.OtherAnswers, "other-bad": a.OtherBad, "kinds": a.Kinds,
	})
}

// logTorn logs the torn writes that were dropped when the data folder was opened.
func (h *Host) logTorn(w []store.TornWrite) {
	for _, t := range w {
		h.log.WithFields(logrus.Fields{"file": filepath.Base(t.Path), "offset": t.Offset, "bytes": t.Bytes}).Warn("control: a write that a crash left incomplete is dropped; it wasn't acknowledged")
	}
}

// logChanges logs the differences between two states: role, leader or term, configuration in force, voters and
// learners, rollouts, drains, and whether the host has caught up.
func (h *Host) logChanges(o, s State) {
	if o.Log.Role != s.Log.Role || o.Log.Leader != s.Log.Leader || o.Log.Hard.Term != s.Log.Hard.Term {
		h.log.WithFields(logrus.Fields{
			"role": s.Log.Role.String(), "leader": s.Log.Leader, "term": s.Log.Hard.Term, "commit": s.Log.Commit, "last": s.Log.LastIndex(),
		}).Info("control: role or leader changed")
	}
	if o.Log.Role == quorum.Leader && s.Log.Role != quorum.Leader {
		h.logStepDown(o, s)
	}
	if o.StateMachine.Document.Version != s.StateMachine.Document.Version {
		h.log.WithFields(logrus.Fields{"version": s.StateMachine.Document.Version, "index": s.StateMachine.Applied}).Info("control: configuration in force")
	}
	if !sameNodes(o.Log.Peers.Voters, s.Log.Peers.Voters) || !sameNodes(o.Log.Peers.Learners, s.Log.Peers.Learners) {
		h.log.WithFields(logrus.Fields{"voters": s.Log.Peers.Voters, "learners": s.Log.Peers.Learners}).Info("control: voters or learners changed")
	}
	for k, r := range s.StateMachine.Rollouts {
		if p := o.StateMachine.Rollouts[k]; p.Serial != r.Serial || p.Outcome != r.Outcome {
			h.log.WithFields(logrus.Fields{"service": k, "target": r.Target, "serial": r.Serial, "outcome": r.Outcome.String()}).Info("control: roll-out changed")
		}
	}
	h.logDrains(o, s)
	if o.Synced != s.Synced {
		h.log.WithFields(logrus.Fields{"version": s.StateMachine.Document.Version}).Info("control: caught up after the start")
	}
}

// logStepDown logs why a leader no longer leads: how long ago each voter answered it, and what this host was behind with.
func (h *Host) logStepDown(o, s State) {
	a := map[string]int64{}
	for _, n := range o.Log.Peers.Voters {
		if n != o.Node {
			a[Address(n)] = (s.Now - o.Log.LastAcked(n)).Milliseconds()
		}
	}
	w, _ := h.reports.Load()
	h.log.WithFields(h.strain.recent(s.Now).fields()).WithFields(logrus.Fields{
		"own-term": o.Log.Hard.Term == s.Log.Hard.Term, "answered-ago": a, "reports-waiting": w,
	}).Warn("control: no longer leads")
}

// logStrain logs a line each second in which this host was behind its work, and one in which it waited for its disk.
func (h *Host) logStrain(now time.Duration) {
	s, ok := h.strain.finished(now)
	if !ok {
		return
	}
	if s.overloaded() {
		w, _ := h.reports.Load()
		h.log.WithFields(s.fields()).WithField("reports-waiting", w).Warn("control: is behind its work")
	}
	if s.awaitsDisk() {
		h.log.WithField("write-time", s.WriteTime.Milliseconds()).Warn("control: a write to the data folder takes long, messages of the log wait for it")
	}
}

func sameNodes(a, b []quorum.NodeID) bool {
	if len(a) != len(b) {
		return false
	}
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func (h *Host) registerGauges(m *metrics.Set) {
	g := func(name string, f func(State) float64) {
		m.NewGauge(name, func() float64 { return f(*h.state.Load()) })
	}
	g("control_term", func(s State) float64 { return float64(s.Log.Hard.Term) })
	g("control_commit", func(s State) float64 { return float64(s.Log.Commit) })
	g("control_lag", func(s State) float64 { return float64(s.Log.LastIndex() - s.Log.Commit) })
	g("control_leads", func(s State) float64 {
		if s.Log.Role == quorum.Leader {
			return 1
		}
		return 0
	})
	g("control_voter", func(s State) float64 {
		if s.Log.Peers.IsVoter(s.Node) {
			return 1
		}
		return 0
	})
	g("control_table_version", func(s State) float64 { return float64(s.StateMachine.Document.Version) })
	g("drained_data_centres", func(s State) float64 { return float64(len(s.StateMachine.Drains.Drained())) })
	g("control_poison_rules", func(s State) float64 { return float64(len(s.Poison.Rules())) })
	m.NewGauge("control_permits_lent", func() float64 { return float64(h.replies.PermitsLent(h.now())) })
	m.NewGauge("control_reports_waiting", func() float64 { n, _ := h.reports.Load(); return float64(n) })
	m.NewGauge("control_evidence_dropped_total", func() float64 { _, n := h.reports.Load(); return float64(n) })
	g("control_entries", func(s State) float64 { return float64(s.EntryHosts()) })
}
