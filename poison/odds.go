package poison

import (
	"math"
	"time"
)

// suspectAges are the times before an end within which a request has to have begun to be a suspect. A request that ends
// endpoints does so soon after it begins, but how soon isn't known: it may wait there unseen.
var suspectAges = [...]time.Duration{125 * time.Millisecond, 250 * time.Millisecond, 500 * time.Millisecond, maxSuspectAge}

// maxSuspectAge is the longest of suspectAges.
const maxSuspectAge = 1500 * time.Millisecond

// minChance bounds how much one crash tells.
const minChance = 0.01

// evidence is what a key is judged by.
type evidence struct {
	Assessment
	now time.Duration
	// moments holds the ends since the first crash. otherEnds counts the ends at which the key wasn't found, from
	// chainMargin before the first to chainMargin after the last crash.
	moments   []moment
	otherEnds int
	outcomes  outcomes
}

// outcomes is how the requests of a service have ended, but for those that met an end.
type outcomes struct {
	// all counts the requests that outlasted their begin, and survivors those with the key among them.
	all, survivors Survivors
	// known is cleared if some of it may have been lost.
	known bool
}

// weighRuns returns the log odds of a key of which each begun request has ended its endpoint, while others were served, and at which half of
// the ends or more were found. Two explanations
// by coincidence are to be ruled out: that its requests met ends which come at the rate of all ends soon after they had begun, and
// that requests of the service end endpoints alike whether they have the key or not. The second one is compared with
// the few keys only that are as frequent, which is why less is asked for.
func (e evidence) weighRuns() float64 {
	if len(e.moments) < 2 || !e.outcomes.known || e.Crashes < e.otherEnds {
		return 0
	}
	r := math.Inf(-1)
	for i := range suspectAges {
		r = max(r, e.logOddsOfRuns(i))
	}
	return min(r-math.Log(float64(len(suspectAges))), e.logOddsOfOutcomes()+math.Log(alikeDiscount))
}

// alikeDiscount is by how much less is asked for against the explanation that all requests end endpoints alike.
const alikeDiscount = 1500

// logOddsOfRuns weighs the requests with the key by whether they met an end within one of suspectAges after they had begun, at the rate of
// all ends.
func (e evidence) logOddsOfRuns(ageIndex int) float64 {
	a := suspectAges[ageIndex]
	n := (float64(e.Ends) + presentStart) / max(downTime, e.Last-e.First).Seconds()
	k, s := 0, 0.0
	for _, m := range e.moments[1:] {
		if m.found && m.crash.Age <= a {
			k++
			s += math.Log(max(minChance, 1-math.Exp(-n*a.Seconds()/m.up(n))))
		}
	}
	return logOdds(k, k+int(e.outcomes.survivors[ageIndex]), s)
}

// logOddsOfOutcomes weighs that requests with the key ended endpoints so much more often than others of the service that it isn't a
// coincidence, by the number of keys that are as frequent.
func (e evidence) logOddsOfOutcomes() float64 {
	c := float64(e.Crashes)
	s := float64(e.outcomes.survivors[len(suspectAges)-1])
	k := c + s                    // requests with the key
	d := c + float64(e.otherEnds) // requests that ended an endpoint
	n := d + max(float64(e.outcomes.all[len(suspectAges)-1]), s)
	if c*n <= k*d {
		return 0
	}
	// The hypergeometric probability that as many of the ends fall on requests with the key.
	return logChoose(n, d) - logChoose(k, c) - logChoose(n-k, d-c) - math.Log(n/k)
}

// logChoose returns the logarithm of the number of ways to choose k of n.
func logChoose(n, k float64) float64 {
	a, _ := math.Lgamma(n + 1)
	b, _ := math.Lgamma(k + 1)
	c, _ := math.Lgamma(n - k + 1)
	return a - b - c
}

// weighFinds returns the log odds of a key that several requests have in common: whether the ends found requests with it
// by chance.
func (e evidence) weighFinds() float64 {
	if len(e.moments) < 2 {
		return 0
	}
	r := math.Inf(-1)
	for _, t := range suspectAges {
		r = max(r, logOddsWithin(t, e.moments[1:], e.rate())) // the evidence begins with a moment at which the key was found
	}
	return r - math.Log(float64(len(suspectAges)))
}

// chainMargin is how long before the first and after the last crash ends of other causes count.
const chainMargin = 3 * time.Second

// weighChain returns the log odds of a request that is sent again each time its endpoint has ended: whether each of its
// runs met an end by chance soon after it had begun, at the rate at which endpoints end without it.
func (e evidence) weighChain() float64 {
	if len(e.moments) < 2 {
		return 0
	}
	t := min(e.now, e.Last+chainMargin) - e.First + chainMargin
	n := (float64(e.otherEnds) + presentStart) / t.Seconds()
	r := math.Inf(-1)
	for _, a := range suspectAges {
		var s float64
		for _, m := range e.moments[1:] {
			if m.found && m.crash.Age <= a {
				s -= math.Log(1 - math.Exp(-n*a.Seconds()/m.up(n)))
			}
		}
		r = max(r, s)
	}
	return r - math.Log(float64(len(suspectAges)))
}

const (
	// downTime is how long an endpoint that has ended is taken to be down at least, and minUpShare the least share of the
	// endpoints of a service that is taken to be up.
	downTime   = 1500 * time.Millisecond
	minUpShare = 0.1
)

// up returns the number of endpoints that are up while some end at a rate per second.
func (m moment) up(rate float64) float64 {
	n := float64(m.crash.Endpoints)
	return max(minUpShare*n, n-rate*downTime.Seconds())
}

// momentGap is the time between two ends up to which they count as one: causes from outside end many endpoints at once.
const momentGap = 10 * time.Millisecond

// moment is a number of ends with no more than momentGap between them.
type moment struct {
	ends int
	// crash is what they say about a key, if found is set.
	crash Crash
	found bool
}

// moments returns the ends that meet a condition, with what they say about the key of a case. ends holds all ends in the
// order of their times. Crashes that are cleared say nothing.
func (c Case) moments(ends []timedEnd, cleared func(Crash) bool, condition func(timedEnd) bool) []moment {
	var r []moment
	var t time.Duration
	for _, e := range ends {
		if !condition(e) {
			continue
		}
		if len(r) == 0 || e.At > t+momentGap {
			r = append(r, moment{})
		}
		t = e.At
		m := &r[len(r)-1]
		m.ends++
		if v, ok := c.Crashes[e.boot]; ok && !cleared(v) {
			if m.found {
				v = v.merge(m.crash)
			}
			m.crash, m.found = v, true
		}
	}
	return r
}

// rate returns the runs per second that the crashes show. A key that came up just now has a low rate at each host, though
// several requests with it run. Ends from outside often come together, and may do so while many requests with a new key run.
func (a Assessment) rate() float64 {
	return float64(a.Crashes-1) / max(suspectAges[0], a.Last-a.First).Seconds()
}

// logOddsWithin weighs the moments by whether a request with the key had begun within age before. rate is the least rate
// of runs a second.
func logOddsWithin(age time.Duration, moments []moment, rate float64) float64 {
	n := 0
	var l float64
	for _, m := range moments {
		if m.found && m.crash.Age <= age {
			n++
			l += math.Log(max(minChance, m.chance(age, rate)))
		}
	}
	return logOdds(n, len(moments), l)
}

// chance returns the probability that a request with the key has begun at one of the endpoints within age before their
// ends if it isn't the cause. Ends may be random, or caused by any requests alike, as with a bad version.
func (m moment) chance(age time.Duration, rate float64) float64 {
	c := math.Exp(-max(rate, m.crash.Rate)*age.Seconds()/float64(m.crash.Endpoints)) * max(0, 1-m.crash.Share)
	return 1 - math.Pow(c, float64(m.ends))
}

// minCausedShare is the least share of the moments that a key has to be found at. With fewer, chance finds it among the
// many keys of a service whose endpoints end for other reasons.
const minCausedShare = 0.15

// logOdds compares two explanations of n of total ends that found a request with a key: that the key caused a share of
// the ends, the likeliest one, or that all were coincidences. logChance is the sum of the logarithms of the chances.
func logOdds(n, total int, logChance float64) float64 {
	if float64(n) < minCausedShare*float64(total) {
		return 0
	}
	f := math.Exp(logChance / float64(max(1, n)))
	a := (float64(n)/float64(total) - f) / (1 - f)
	if n == 0 || f >= 1 || a <= 0 {
		return 0
	}
	r := float64(n) * math.Log((a+(1-a)*f)/f)
	if m := total - n; m > 0 {
		r += float64(m) * math.Log(1-a)
	}
	return r
}
