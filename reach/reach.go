// Package reach judges from which endpoints this host gets answers on new connections. What it goes by is the outcome of
// openings: those that requests need, and probes, which it asks for when something speaks against a link. A connection
// alone proves nothing, since a proxy on the way may accept it for the endpoint. The package uses no network and no clock.
package reach

import (
	"slices"
	"time"
)

//go:generate go tool stringer -type=State,Outcome -linecomment -output=enum_string.go

// State is what this host knows of its link to a pool of endpoints.
type State int

// States of a link.
const (
	// Sound means that nothing speaks against the link.
	Sound State = iota // sound
	// Suspect means that something speaks against the link, and probes are to decide.
	Suspect // suspect
	// Cut means that no endpoint answered on a new connection when probed. Whether the endpoints or this host's links are the
	// cause shows in what other hosts get there.
	Cut // cut
	// Returning means that endpoints answer again after a cut; a growing share of requests goes there.
	Returning // returning
)

const (
	// probeWidth is the number of endpoints that are probed at once, and firstProbes that in answer to a suspicion.
	probeWidth  = 4
	firstProbes = 2
	// cutFailures is the number of endpoints whose probes have to fail for a cut. A smaller pool needs all of its endpoints
	// for that.
	cutFailures = 8
	// suspectFailures is the number of endpoints that have to fail in a row while others show signs of life.
	suspectFailures = 2
	// signWindow is how long a sign of life speaks for the link.
	signWindow = 300 * time.Millisecond
	// suspectTime is how long a suspicion lasts without a verdict, and suspectPause the least time from the end of one
	// suspicion to the next. doubtPause replaces it where no opening has failed.
	suspectTime  = 700 * time.Millisecond
	suspectPause = 300 * time.Millisecond
	doubtPause   = time.Second
	// cutProbeInterval is the interval of the probes of a link that is cut or returning; cutProbeWidth their number.
	cutProbeInterval = 200 * time.Millisecond
	cutProbeWidth    = 2
	// returnTime is how long a link takes from its first answer after a cut until it carries all requests. It doubles
	// with each cut that follows within settleTime, up to maxReturnTime.
	returnTime    = time.Second
	maxReturnTime = 8 * time.Second
	settleTime    = 10 * time.Second
	// steadyTime is how long after a return a link isn't relied on by other hosts: after an outage for all, hosts return at
	// slightly different times.
	steadyTime = 2 * time.Second
	// firstShare is the share of requests that a link carries when it begins to return.
	firstShare = 0.1
)

// Outcome is what became of a new connection to an endpoint.
type Outcome int

// Outcomes of openings.
const (
	// Answered means that the connection opened and the endpoint began an answer on it.
	Answered Outcome = iota // answered
	// Refused means that the endpoint's host refused the connection. Its process may have ended.
	Refused // refused
	// Silent means that nothing answered the opening in time.
	Silent // silent
	// Unanswered means that the connection opened, and that it was reset or closed, or nothing came in time, before an answer.
	Unanswered // unanswered
)

// Opening is an attempt to get an answer from an endpoint on a new connection.
type Opening struct {
	Endpoint string
	// Began and Ended are when the opening began, and when its outcome was known.
	Began, Ended time.Time
	Outcome      Outcome
	// Probe is set if the connection was opened to look after the link rather than for a request.
	Probe bool
}

// Link is this host's link to a pool: the endpoints of one service in one data centre. The zero value is a sound link without
// observations. It is an immutable value.
type Link struct {
	state State
	// since is when state began.
	since time.Time
	// cutSince is when the first of the openings failed that led to the cut. It stays until the link is sound again.
	cutSince time.Time
	// failed holds the endpoints whose openings have failed since the last one that succeeded, and probed those of them
	// whose failed openings began after the suspicion. Both are in the order of the failures.
	failed, probed []string
	// silent is set if nothing answered one of the openings in failed, and unopened if one of them led to no connection.
	silent, unopened bool
	// failingSince is when the first opening in failed began.
	failingSince time.Time
	// signAt is when an endpoint last answered.
	signAt time.Time
	// probedAt is when probes were last asked for, asked the number of them in this suspicion, and turn that of all.
	probedAt time.Time
	asked    int
	turn     int
	// own is set once others are known to get answers where this host gets none, so that its links are the cause of a cut.
	own bool
	// returnedAt is when the last return ended, or the zero time.
	returnedAt time.Time
	// ramp is how long the next return takes, 0 before the first cut.
	ramp time.Duration
}

// State returns the state of the link.
func (l Link) State() State { return l.state }

// Since returns when the state began.
func (l Link) Since() time.Time { return l.since }

// CutSince returns since when nothing is answered, or the zero time if the link isn't cut or returning.
func (l Link) CutSince() time.Time { return l.cutSince }

// SignAt returns when an endpoint last answered, or the zero time.
func (l Link) SignAt() time.Time { return l.signAt }

// WithOpening returns the link after an opening. endpoints is the number of endpoints of the pool.
func (l Link) WithOpening(o Opening, endpoints int) Link {
	if o.Outcome == Answered {
		return l.withAnswered(o)
	}
	if o.Began.Before(l.signAt) && l.state == Sound {
		return l
	}
	if o.Outcome == Unanswered && !o.Probe && l.state != Sound {
		return l // the request may be the reason
	}
	if len(l.failed) == 0 {
		l.failingSince = o.Began
	}
	l.failed = appendNew(l.failed, o.Endpoint)
	l.silent = l.silent || o.Outcome == Silent
	l.unopened = l.unopened || o.Outcome != Unanswered
	switch l.state {
	case Sound:
		if len(l.failed) >= min(suspectFailures, endpoints) || o.Ended.Sub(l.signAt) > signWindow {
			return l.WithDoubt(o.Ended)
		}
	case Suspect:
		if o.Began.Before(l.since) {
			return l
		}
		if l.probed = appendNew(l.probed, o.Endpoint); len(l.probed) >= min(cutFailures, endpoints) && !l.carries() {
			return l.withCut(o.Ended)
		}
	case Returning:
		if len(l.failed) >= min(cutFailures, endpoints) {
			return l.withCut(o.Ended)
		}
	}
	return l
}

// carries reports whether answers have come since the suspicion began while all connections opened: the endpoints are slow then.
func (l Link) carries() bool { return !l.unopened && l.signAt.After(l.since) }

// withAnswered returns the link after an answer on a new connection. One that was opened before what speaks against the link tells
// nothing about connections that are opened now.
func (l Link) withAnswered(o Opening) Link {
	l.signAt = Latest(l.signAt, o.Ended)
	if o.Began.Before(l.failingSince) || l.state == Cut && o.Began.Before(l.since) {
		return l
	}
	d := l.Decided()
	l.failed, l.probed, l.silent, l.unopened = nil, nil, false, false
	switch {
	case l.state == Suspect:
		l.state, l.since = Sound, o.Ended
	case l.state == Cut && d:
		l.state, l.since = Returning, o.Ended
	case l.state == Cut:
		l.state, l.since, l.cutSince, l.returnedAt = Sound, o.Ended, time.Time{}, o.Ended
	}
	return l
}

// WithOthersAnswered returns a cut link once others are known to have got answers before this host got none.
func (l Link) WithOthersAnswered() Link {
	l.own = l.own || l.state == Cut
	return l
}

// Decided reports whether the cause of a cut is known not to be that the endpoints are silent: no connection opens, or others get
// answers there.
func (l Link) Decided() bool { return l.state == Returning || l.state == Cut && (l.unopened || l.own) }

// withCut returns the link once it is known to be cut.
func (l Link) withCut(now time.Time) Link {
	l.ramp = min(maxReturnTime, max(returnTime, 2*l.ramp))
	l.cutSince, l.own = l.failingSince, false
	l.state, l.since = Cut, now
	return l
}

// WithSign returns the link after an answer on a connection that was open before. It says little about new ones.
func (l Link) WithSign(now time.Time) Link {
	l.signAt = Latest(l.signAt, now)
	return l
}

// WithDoubt returns the link after something else speaks against it, such as a request without an answer: probes decide.
func (l Link) WithDoubt(now time.Time) Link {
	p := suspectPause
	if len(l.failed) == 0 {
		p = doubtPause
	}
	if now.Sub(l.since) < p {
		return l
	}
	return l.WithSuspicion(now)
}

// WithSuspicion is like WithDoubt, however short the time since the last one is.
func (l Link) WithSuspicion(now time.Time) Link {
	if l.state != Sound {
		return l
	}
	if len(l.failed) == 0 {
		l.failingSince = now
	}
	l.state, l.since, l.probed, l.asked = Suspect, now, nil, 0
	return l
}

// At returns the link at now: suspicions end without a verdict, and returns end.
func (l Link) At(now time.Time) Link {
	switch {
	case l.state == Suspect && now.Sub(l.since) > suspectTime:
		l.state, l.since, l.failed, l.probed, l.silent, l.unopened = Sound, now, nil, nil, false, false
	case l.state == Returning && now.Sub(l.since) > l.ramp:
		l.state, l.since, l.cutSince, l.returnedAt = Sound, now, time.Time{}, now
	case l.state == Sound && now.Sub(l.since) > settleTime:
		l.ramp = 0
	}
	return l
}

// Steady reports whether the link is sound and has not been cut lately, so that other hosts may rely on it.
func (l Link) Steady(now time.Time) bool {
	return l.state == Sound && (l.returnedAt.IsZero() || now.Sub(l.returnedAt) > steadyTime)
}

// Avoid reports whether endpoints elsewhere are to be preferred: the link is cut, or nothing answers openings.
func (l Link) Avoid() bool { return l.state == Cut || l.state == Suspect && l.silent }

// Probing reports whether the link is suspect and probes are under way.
func (l Link) Probing() bool { return l.state == Suspect && l.asked > 0 }

// Silent reports whether nothing answered openings since the last answer, so that further ones would take long.
func (l Link) Silent() bool { return l.silent }

// DirectShare returns the share of requests, from 0 to 1, that may go to the pool directly.
func (l Link) DirectShare(now time.Time) float64 {
	switch l.state {
	case Cut:
		return 0
	case Returning:
		return min(1, firstShare+(1-firstShare)*float64(now.Sub(l.since))/float64(l.ramp))
	}
	return 1
}

// WithProbes returns the endpoints to probe now, and the link after that. endpoints holds all of the pool, the ones
// that are most likely to answer first.
func (l Link) WithProbes(endpoints []string, now time.Time) (next Link, probes []string) {
	n := min(l.dueProbes(now), len(endpoints))
	if n == 0 {
		return l, nil
	}
	if l.state == Cut {
		endpoints = rotate(endpoints, l.turn)
	} else {
		endpoints = untriedFirst(endpoints, l.failed)
	}
	l.probedAt = now
	l.asked += n
	l.turn += n
	return l, endpoints[:n]
}

// dueProbes returns how many probes are due.
func (l Link) dueProbes(now time.Time) int {
	a := now.Sub(l.probedAt)
	switch {
	case l.state == Suspect && l.asked == 0:
		return firstProbes
	case l.state == Suspect && len(l.probed) >= l.asked:
		return probeWidth
	case l.state == Returning && len(l.failed) >= suspectFailures && a >= cutProbeInterval/2:
		return probeWidth
	case (l.state == Cut || l.state == Returning) && a >= cutProbeInterval:
		return cutProbeWidth
	}
	return 0
}

// rotate returns the list from its n-th name on, with those before at the end.
func rotate(list []string, n int) []string {
	n %= len(list)
	return slices.Concat(list[n:], list[:n])
}

// untriedFirst returns the list with the names that are also in tried at its end.
func untriedFirst(list, tried []string) []string {
	var a, b []string
	for _, n := range list {
		if slices.Contains(tried, n) {
			b = append(b, n)
		} else {
			a = append(a, n)
		}
	}
	return append(a, b...)
}

// appendNew returns a copy of the list with one more name, unless the list holds it.
func appendNew(list []string, name string) []string {
	if slices.Contains(list, name) {
		return list
	}
	return append(slices.Clone(list), name)
}

// Latest returns the later one of two times.
func Latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
