package poison

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// threshold is what evidence has to reach for a verdict on a key of a kind.
type threshold struct {
	// crashes is the least number of crashes.
	crashes int
	// settle is the least time since the first crash, in which ends of other causes show.
	settle time.Duration
	// logOdds is the least logarithm of how much likelier the crashes are if the key ends endpoints.
	logOdds float64
	// weigh returns that logarithm.
	weigh func(evidence) float64
}

var thresholds = map[Kind]threshold{
	Part:    {crashes: 5, settle: time.Second, logOdds: math.Log(3e4), weigh: evidence.weighFinds},
	Request: {crashes: 3, settle: time.Second, logOdds: math.Log(3e5), weigh: evidence.weighChain},
}

// Verdict is a decision to hold requests back, with what it is based on.
type Verdict struct {
	Rule       Rule
	Assessment Assessment
}

// Assessment weighs the evidence about a key.
type Assessment struct {
	// Crashes is the number of ends that count against the key, and Ends the number of all ends of the service since the
	// first of them. Ends that another verdict explains aren't counted.
	Crashes, Ends int
	// First and Last are the times of the first and the last crash.
	First, Last time.Duration
	// LogOdds is the logarithm of how much likelier the crashes are if the key ends endpoints than by coincidence.
	LogOdds float64
}

// Judged returns the state with the verdicts that the evidence suffices for, and the new ones among them. The key with
// the most crashes is judged first: what it explains no longer counts against other keys.
func (s State) Judged(now time.Duration) (State, []Verdict) {
	var r []Verdict
	s.cases = maps.Clone(s.cases)
	j := s.judge(now)
	for {
		k, a, ok := j.strongest()
		if !ok {
			return s, r
		}
		c := s.cases[k]
		c.Verdict = c.Lifted + 1
		s.cases[k] = c
		j.inForce = append(j.inForce, k)
		r = append(r, Verdict{s.rule(k), a})
	}
}

// strongest returns the key with the most crashes of those that the evidence suffices for. Of several, it is the one that is the more
// likely, and then the less frequent one, which holds fewer requests back.
func (j *judge) strongest() (key Key, best Assessment, ok bool) {
	for k, c := range j.cases {
		if c.InForce() || c.countWithout(Crash.isServed) < thresholds[k.Kind].crashes {
			continue
		}
		a := j.assess(k)
		if !a.suffices(thresholds[k.Kind], j.now) || j.hasNarrower(k) {
			continue
		}
		if !ok || cmp.Or(cmp.Compare(a.Crashes, best.Crashes), cmp.Compare(a.LogOdds, best.LogOdds), cmp.Compare(j.cases[key].share(), c.share()), key.compare(k)) > 0 {
			key, best, ok = k, a, true
		}
	}
	return key, best, ok
}

// hasNarrower reports whether the ends that count against a part count against another one too that fewer requests have, but for fewer ends
// than a verdict needs: the latter explains them without the rest. If it isn't the cause, ends without it follow.
func (j *judge) hasNarrower(k Key) bool {
	c, m := j.cases[k], thresholds[Part].crashes
	if k.Kind != Part {
		return false
	}
	for o, v := range j.cases {
		if o == k || o.Kind != Part {
			continue
		}
		if v.share() < c.share() && v.covers(c) {
			return true
		}
		n := v.shared(c)
		if v.isNarrower(o, k, c) && n >= m && c.countWithout(Crash.isServed)-n < m {
			return true
		}
	}
	return false
}

func (a Assessment) suffices(t threshold, now time.Duration) bool {
	return a.Crashes >= t.crashes && now-a.First >= t.settle && a.LogOdds >= t.logOdds
}

// Assess weighs the evidence about a key.
func (s State) Assess(k Key, now time.Duration) Assessment { return s.judge(now).assess(k) }

// judge weighs the evidence of a state.
type judge struct {
	State
	now time.Duration
	// ends holds all ends in the order of their times.
	ends []timedEnd
	// inForce holds the keys with a verdict.
	inForce []Key
}

// timedEnd is an End with the endpoint's start.
type timedEnd struct {
	End
	boot Boot
}

func (s State) judge(now time.Duration) *judge {
	j := &judge{State: s, now: now}
	for b, e := range s.ends {
		j.ends = append(j.ends, timedEnd{e, b})
	}
	slices.SortFunc(j.ends, func(a, b timedEnd) int { return cmp.Or(cmp.Compare(a.At, b.At), a.boot.compare(b.boot)) })
	for k, c := range s.cases {
		if c.InForce() {
			j.inForce = append(j.inForce, k)
		}
	}
	return j
}

// assess weighs the ends that found requests with a key, and for a part also its requests, if that tells more.
func (j *judge) assess(k Key) Assessment {
	a := j.assessBy(k, thresholds[k.Kind].weigh, Crash.isCleared)
	if k.Kind == Part {
		if b := j.assessBy(k, evidence.weighRuns, Crash.isServed); b.LogOdds > a.LogOdds {
			return b
		}
	}
	return a
}

// assessBy weighs the evidence in a way, without the crashes that are cleared.
func (j *judge) assessBy(k Key, weigh func(evidence) float64, cleared func(Crash) bool) Assessment {
	c := j.cases[k]
	x := j.explained(k)
	a := Assessment{Last: c.AskedAt}
	v := map[string]bool{}
	for b, r := range c.Crashes {
		e, ok := j.State.ends[b]
		if !ok || cleared(r) || x[b] {
			continue
		}
		if a.Crashes == 0 || e.At < a.First {
			a.First = e.At
		}
		a.Crashes++
		v[e.Service] = true
	}
	e := evidence{Assessment: a, now: j.now, moments: c.moments(j.ends, cleared, func(e timedEnd) bool { return v[e.Service] && e.At >= a.First && !x[e.boot] })}
	for _, m := range e.moments {
		a.Ends += m.ends
	}
	e.Ends = a.Ends
	for _, o := range j.ends {
		if v[o.Service] && !x[o.boot] && !c.crashedAt(o.boot, cleared) && o.At >= a.First-chainMargin && o.At <= a.Last+chainMargin {
			e.otherEnds++
		}
	}
	e.outcomes = j.outcomes(k, v, a.First)
	a.LogOdds = weigh(e)
	return a
}

// outcomes returns how the requests of some services have ended since a time, but for those that met an end.
func (j *judge) outcomes(k Key, services map[string]bool, since time.Duration) outcomes {
	o := outcomes{known: true}
	for n := range services {
		a, x := j.survivors.since(counted{service: n}, since)
		s, y := j.survivors.since(counted{n, k.sum()}, since)
		o.all, o.survivors = o.all.plus(a), o.survivors.plus(s)
		o.known = o.known && x && y
	}
	return o
}

// explained returns the ends that count against other keys with a verdict. A key whose crashes are all among those of
// k explains nothing once enough others count against k for a verdict, since k may be the cause of all of them, and neither does a request
// for the parts of its prompt.
func (j *judge) explained(k Key) map[Boot]bool {
	r := map[Boot]bool{}
	for _, o := range j.inForce {
		v := j.cases[o]
		if o == k || k.Kind < o.Kind || j.cases[k].covers(v) && j.cases[k].countWithout(Crash.isServed) >= v.countWithout(Crash.isServed)+thresholds[k.Kind].crashes {
			continue
		}
		for b, e := range v.Crashes {
			if !e.isServed() {
				r[b] = true
			}
		}
		j.explainMore(v, r)
	}
	return r
}

// explainMore adds the ends that a full case lacks: those of its services from its first crash to shortly after its last one.
func (j *judge) explainMore(c Case, explained map[Boot]bool) {
	if len(c.Crashes) < maxCaseCrashes {
		return
	}
	type span struct{ first, last time.Duration }
	m := map[string]span{}
	for b := range c.Crashes {
		e, ok := j.State.ends[b]
		if !ok {
			continue
		}
		p, ok := m[e.Service]
		if !ok {
			p = span{e.At, e.At}
		}
		m[e.Service] = span{min(p.first, e.At), max(p.last, e.At)}
	}
	for _, e := range j.ends {
		if p, ok := m[e.Service]; ok && e.At >= p.first && e.At <= p.last+chainMargin {
			explained[e.boot] = true
		}
	}
}
