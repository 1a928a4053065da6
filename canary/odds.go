package canary

import (
	"cmp"
	"fmt"
	"iter"
	"maps"
	"math"
	"slices"
)

//go:generate go tool stringer -type=Outcome,defect -linecomment -output=enum_string.go

// defect is a way in which the answers of a version are bad.
type defect int

const (
	failing defect = iota // failing
	late                  // late
)

const (
	// priorOdds are the odds of a bad version against a good one before any answer.
	priorOdds = 0.5
	// laterOnset is the probability that a bad version turns bad only after the first slice; each later slice within the
	// budget is equally likely.
	laterOnset = 0.04
	// singleKind is the probability that a bad version is bad for one kind of request only, which is the more likely the more
	// frequent the kind is.
	singleKind = 0.5
	// faultyEndpoint is the probability that an endpoint of a good version gives bad answers for a reason of its own. It
	// bounds how much a single endpoint can tell about its version.
	faultyEndpoint = 0.1
	// The rate of bad answers of a good version is estimated from the other versions, as if usualAnswers answers at
	// defaultRate came on top for each kind, and sliceAnswers answers at the rate of the whole rollout for each slice.
	defaultRate  = 0.02
	usualAnswers = 4
	sliceAnswers = 10
	// rateMargin is the number of standard deviations by which the estimate may be too low.
	rateMargin = 1
	// minSingleShare is the share of the requests from which a version is suspected for a kind alone: what is bad for fewer
	// does little harm.
	minSingleShare = 0.03
	// minShare is the share of the requests below which a kind isn't rated as rarer.
	minShare = 0.1
	// maxTellingRate is the usual rate of bad answers above which a kind of request tells nothing about the target, unless that is so for
	// all kinds: then the other versions may be bad. maxBadRate is the rate above which bad answers tell nothing even then.
	maxTellingRate = 0.5
	maxBadRate     = 0.9
	// minRate bounds the estimated rate, so that no single answer decides.
	minRate = 0.004
)

// excesses are the shares of answers that are bad in addition, one of which a bad version is assumed to have.
var excesses = [...]float64{0.2, 0.35, 0.55, 0.8}

// likelihoods holds, for each of the excesses, the logarithm of how much more likely answers are with it than without.
type likelihoods [len(excesses)]float64

func (l likelihoods) plus(o likelihoods) likelihoods {
	for k := range l {
		l[k] += o[k]
	}
	return l
}

// suspicion is the hypothesis that the target is bad in one way, for one kind of request or for all, since a slice.
type suspicion struct {
	defect defect
	// kind is a kind of request, or empty for all kinds.
	kind  string
	onset int
}

// String says how, for which kind of request and since which time slice the target is suspected.
func (x suspicion) String() string {
	return fmt.Sprintf("%s for %s since slice %d", x.defect, cmp.Or(x.kind, "all requests"), x.onset)
}

// A version is taken for bad to the degree to which its answers are more likely if it is than if it isn't. Since there are
// many ways to be bad, each is weighed by itself (a suspicion), and the weights are summed up. All weights are logarithms.

// logOdds returns the logarithm of the odds that the target is bad, and the suspicion that adds most to them. It weighs
// each suspicion and each excess by the answers of the target against the answers of the other versions in the same
// slices.
func (e evidence) logOdds() (float64, suspicion) {
	var s []float64
	var worst suspicion
	h := math.Inf(-1)
	f := func(w float64, x suspicion) {
		s = append(s, w)
		if w > h {
			h, worst = w, x
		}
	}
	k := e.tellingKinds(maps.Keys(e.target))
	for _, d := range []defect{failing, late} {
		a := map[string][]likelihoods{}
		for _, n := range k {
			m := e.kindLikelihoods(d, n)
			for i, l := range m {
				a[i] = sumSlices(a[i], l)
			}
			if len(k) > 1 && e.share(n) >= minSingleShare {
				e.addOnsets(sorted(m), suspicion{defect: d, kind: n}, math.Log(singleKind*e.share(n)), f)
			}
		}
		p := 1.0
		if len(k) > 1 {
			p -= singleKind
		}
		e.addOnsets(sorted(a), suspicion{defect: d}, math.Log(p), f)
	}
	if len(s) == 0 {
		return math.Log(priorOdds), suspicion{}
	}
	return math.Log(priorOdds/2) + logSum(s), worst
}

// tellingKinds returns those of some kinds of request that may tell how good the target is. A kind whose answers are usually bad, such as
// requests to a route that always fails, doesn't, unless there is no other kind.
func (e evidence) tellingKinds(kinds iter.Seq[string]) []string {
	l := slices.Sorted(kinds)
	t := slices.DeleteFunc(slices.Clone(l), func(k string) bool { return e.usualRate(failing, k) > maxTellingRate })
	if len(t) == 0 {
		return l
	}
	return t
}

// addOnsets adds the weight of a suspicion for each onset. The weights sum up to the prior if there are no answers.
func (e evidence) addOnsets(byEndpoint [][]likelihoods, x suspicion, logPrior float64, add func(float64, suspicion)) {
	t := make([]likelihoods, len(byEndpoint))
	for x.onset = e.last; x.onset >= 0; x.onset-- {
		for i, l := range byEndpoint {
			t[i] = t[i].plus(l[x.onset])
		}
		p := math.Log(laterOnset / (slicesPerBudget - 1))
		if x.onset == 0 {
			p = math.Log(1 - laterOnset)
		}
		add(logPrior+p+weigh(t), x)
	}
}

// weigh returns the logarithm of how much more likely the answers of all endpoints are if the version is bad than if it
// is good, where each endpoint of a good version may be faulty.
func weigh(byEndpoint []likelihoods) float64 {
	var t likelihoods
	for _, l := range byEndpoint {
		m := max(0, slices.Max(l[:]))
		g := (1 - faultyEndpoint) * math.Exp(-m)
		for _, v := range l {
			g += faultyEndpoint / float64(len(l)) * math.Exp(v-m)
		}
		w := m + math.Log(g)
		for k := range t {
			t[k] += l[k] - w
		}
	}
	return logSum(t[:]) - math.Log(float64(len(t)))
}

// needs returns Assessment.Needs. The answers that a kind needs are the inverse of what one answer of a good version tells
// against the least of the excesses. Their mean, weighted by the kinds' shares of all requests, is 1.
func (e evidence) needs() map[string]float64 {
	n := map[string]float64{}
	var sum float64
	for _, k := range e.tellingKinds(maps.Keys(e.others)) {
		p := min(e.usualRate(failing, k), maxTellingRate)
		x := excesses[0]
		n[k] = -1 / (p*math.Log((p+(1-p)*x)/p) + (1-p)*math.Log(1-x)) / max(minShare, e.share(k))
		sum += n[k] * e.share(k)
	}
	for k := range n {
		n[k] /= sum
	}
	return n
}

// kindLikelihoods returns the likelihoods of the target's answers to a kind of request, by endpoint and slice.
func (e evidence) kindLikelihoods(d defect, kind string) map[string][]likelihoods {
	r := map[string][]likelihoods{}
	u := e.usualRates(d, kind)
	for i, s := range e.target[kind] {
		l := make([]likelihoods, e.last+1)
		for t, c := range s {
			l[t] = answerLikelihoods(c, d, u(t))
		}
		r[i] = l
	}
	return r
}

// usualRate estimates the rate of bad answers of a good version over the whole rollout.
func (e evidence) usualRate(d defect, kind string) float64 {
	t := e.kinds[kind].Others
	return (float64(t.bad(d)) + usualAnswers*defaultRate) / (float64(t.of(d)) + usualAnswers)
}

// usualRates returns a function that estimates the rate of bad answers of a good version in a slice.
func (e evidence) usualRates(d defect, kind string) func(slice int) float64 {
	o := e.others[kind]
	t := e.kinds[kind].Others
	m := e.usualRate(d, kind)
	m += rateMargin * math.Sqrt(m*(1-m)/(float64(t.of(d))+usualAnswers))
	return func(slice int) float64 {
		c := o[slice]
		p := (float64(c.bad(d)) + sliceAnswers*m) / (float64(c.of(d)) + sliceAnswers)
		return min(max(p, minRate), 1)
	}
}

// answerLikelihoods returns the likelihoods of answers where a share of usual is bad anyway.
func answerLikelihoods(c Counts, d defect, usual float64) likelihoods {
	var l likelihoods
	b, g := float64(c.bad(d)), float64(c.of(d)-c.bad(d))
	if usual > maxBadRate {
		b = 0
	}
	for k, x := range excesses {
		p := usual + (1-usual)*x
		l[k] = b*math.Log(p/usual) + g*math.Log(1-x)
	}
	return l
}

// sorted returns the likelihoods in the order of the endpoints, so that sums don't depend on the order of a map.
func sorted(byEndpoint map[string][]likelihoods) [][]likelihoods {
	var r [][]likelihoods
	for _, i := range slices.Sorted(maps.Keys(byEndpoint)) {
		r = append(r, byEndpoint[i])
	}
	return r
}

// sumSlices adds the likelihoods of two series slice by slice, in place if a is long enough.
func sumSlices(a, b []likelihoods) []likelihoods {
	if a == nil {
		return slices.Clone(b)
	}
	for t := range b {
		a[t] = a[t].plus(b[t])
	}
	return a
}

// logSum returns the logarithm of the sum of the exponentials of the values.
func logSum(v []float64) float64 {
	m := slices.Max(v)
	var t float64
	for _, x := range v {
		t += math.Exp(x - m)
	}
	return m + math.Log(t)
}
