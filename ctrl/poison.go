package ctrl

import (
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/poison"
)

const (
	// judgeInterval is the least time between two judgements, to bound what they cost.
	judgeInterval = 100 * time.Millisecond
	// rejudgeTime is how long evidence is judged again, since some has to settle first.
	rejudgeTime = 2 * time.Second
)

// PoisonLifted carries an operator's order to no longer hold back requests with a key.
type PoisonLifted struct{ Key poison.Key }

func (PoisonLifted) event() {}

// PoisonJudged logs a verdict on requests that end endpoints.
type PoisonJudged struct{ Verdict poison.Verdict }

func (PoisonJudged) effect() {}

// applyPoison takes in evidence about requests that end endpoints. It is merged with the next tick.
func (t *transition) applyPoison(r poison.Report) {
	if r.Empty() {
		return
	}
	t.poisonInbox = append(slices.Clip(t.poisonInbox), poison.Arrival{Report: r, At: t.Now})
}

// mergePoison merges the evidence that has arrived.
func (t *transition) mergePoison() {
	if len(t.poisonInbox) == 0 {
		return
	}
	t.Poison = t.Poison.WithReports(t.poisonInbox, t.Now)
	t.poisonInbox = nil
	t.poisonRevision++
	t.poisonChangedAt = t.Now
}

// judgePoison judges the evidence if there is new one. Each control host does so; as verdicts are merged, they need no
// agreement.
func (t *transition) judgePoison() {
	t.mergePoison()
	if t.Now < t.nextJudgement || t.judgedRevision == t.poisonRevision && t.Now > t.poisonChangedAt+rejudgeTime {
		return
	}
	n := t.judgedRevision != t.poisonRevision
	t.judgedRevision, t.nextJudgement = t.poisonRevision, t.Now+judgeInterval
	s, l := t.Poison.Judged(t.Now)
	if n || len(l) > 0 {
		t.sharedPoison, t.sharedPoisonSum = s.Shared(t.Now)
		t.setWatch(s.Watched())
	}
	t.Poison = s
	if len(l) == 0 {
		return
	}
	var k []poison.Key
	for _, v := range l {
		t.emit(PoisonJudged{v})
		k = append(k, v.Rule.Key)
		k = append(k, v.Rule.With...)
	}
	t.emit(SendGossip{Gossip: ctlrpc.Gossip{Poison: s.ReportOf(k, t.Now)}})
}

// setWatch replaces the keys that entry hosts watch, unless they are the same.
func (t *transition) setWatch(w poison.Watch) {
	if !w.Equal(t.watch) {
		t.watch = w
		t.watchRevision++
	}
}

// liftPoison withdraws a verdict here and at the other control hosts.
func (t *transition) liftPoison(k poison.Key) {
	t.mergePoison()
	s, ok := t.Poison.WithLifted(k)
	if !ok {
		return
	}
	t.Poison = s
	t.poisonRevision++
	t.emit(SendGossip{Gossip: ctlrpc.Gossip{Poison: s.ReportOf([]poison.Key{k}, t.Now)}})
}
