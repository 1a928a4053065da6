package poison

import (
	"maps"
	"slices"
	"time"
)

// maxCaseCrashes bounds the crashes of a case.
const maxCaseCrashes = 32

// End is the end of an endpoint that broke off requests.
type End struct {
	Service string
	At      time.Duration
}

// Crash is the end of an endpoint that had begun a request with a key shortly before.
type Crash struct {
	// Age is the time from the start of the latest answer to a request with the key to the end.
	Age time.Duration `json:"age"`
	// Rate is the number of requests with the key a second, and Endpoints the number of endpoints of the service.
	Rate      float64 `json:"rate"`
	Endpoints int     `json:"endpoints"`
	// Share is the share of requests with the key among those of the service, from 0 to 1.
	Share float64 `json:"share"`
	// Cleared is set once requests with the key were served. The crash then doesn't count against the key. It is set too, with Starved,
	// where the service served nothing else either: then the crash counts only beside what was served of the service.
	Cleared bool `json:"cleared"`
	Starved bool `json:"starved,omitempty"`
	// Account is the client account of the requests with the key. Several is set if they had several accounts.
	Account string `json:"account"`
	Several bool   `json:"several"`
}

// isServed reports whether requests with the key were served.
func (c Crash) isServed() bool { return c.Cleared && !c.Starved }

// isCleared reports whether the crash doesn't count against the key by itself.
func (c Crash) isCleared() bool { return c.Cleared }

// merge returns what two hosts know of one crash together. It is commutative and idempotent.
func (c Crash) merge(o Crash) Crash {
	r := Crash{
		Age: min(c.Age, o.Age), Rate: max(c.Rate, o.Rate), Endpoints: min(c.Endpoints, o.Endpoints), Share: max(c.Share, o.Share),
		Cleared: c.Cleared || o.Cleared, Starved: (c.Starved || o.Starved) && !c.isServed() && !o.isServed(),
		Account: c.Account, Several: c.Several || o.Several || c.Account != o.Account,
	}
	if r.Several {
		r.Account = ""
	}
	return r
}

// Case is the evidence about one key. It is an immutable value.
type Case struct {
	// Crashes is never changed in place.
	Crashes map[Boot]Crash
	// Beside holds the sorted keys that all requests had which count against this one, up to maxBeside. It is never changed
	// in place.
	Beside []Key
	// Verdict counts how often requests with the key were ordered to be held back, and Lifted is the highest Verdict that
	// was withdrawn.
	Verdict, Lifted int
	// AskedAt is when a request with the key last ended an endpoint or was held back.
	AskedAt time.Duration
	// ServedAt is the time after which enough requests with the key were served, if Served is set. Ends up to then don't
	// count against the key, whichever host has seen them.
	Served   bool
	ServedAt time.Duration
}

// InForce reports whether requests with the key are held back.
func (c Case) InForce() bool { return c.Verdict > c.Lifted }

// count returns the number of crashes that count against the key.
func (c Case) count() int { return c.countWithout(Crash.isCleared) }

// countWithout returns the number of crashes that don't meet a condition.
func (c Case) countWithout(cleared func(Crash) bool) int {
	n := 0
	for _, r := range c.Crashes {
		if !cleared(r) {
			n++
		}
	}
	return n
}

// isNarrower reports whether all suspects with the key of this case also had a broader key, and some with the latter hadn't this one.
func (c Case) isNarrower(key, broader Key, than Case) bool {
	return slices.Contains(c.Beside, broader) && !slices.Contains(than.Beside, key)
}

// share returns the largest share of requests with the key among those of the service that the crashes which count show.
func (c Case) share() float64 {
	s := 0.0
	for _, r := range c.Crashes {
		if !r.Cleared {
			s = max(s, r.Share)
		}
	}
	return s
}

// crashedAt reports whether the end of a start of an endpoint counts against the key, if its crash doesn't meet a condition.
func (c Case) crashedAt(b Boot, cleared func(Crash) bool) bool {
	r, ok := c.Crashes[b]
	return ok && !cleared(r)
}

// shared returns the number of ends that count against both keys.
func (c Case) shared(o Case) int {
	n := 0
	for b, r := range o.Crashes {
		if !r.isServed() && c.crashedAt(b, Crash.isServed) {
			n++
		}
	}
	return n
}

// covers reports whether all ends that count against o count against c too. It is false if none counts against o.
func (c Case) covers(o Case) bool {
	n := c.shared(o)
	return n > 0 && n == o.countWithout(Crash.isServed)
}

// account returns the client account of all requests that count against the key, or false if they had several.
func (c Case) account() (string, bool) {
	var a Crash
	f := true
	for _, r := range c.Crashes {
		if r.Cleared {
			continue
		}
		if f {
			a, f = r, false
			continue
		}
		a = a.merge(r)
	}
	return a.Account, !f && !a.Several
}

// WithCrash returns the case with a crash that was observed at a time. A full case
// takes no more of them.
func (c Case) WithCrash(b Boot, r Crash, at time.Duration) Case {
	c.AskedAt = max(c.AskedAt, at)
	o, ok := c.Crashes[b]
	if !ok && len(c.Crashes) >= maxCaseCrashes {
		return c
	}
	if ok {
		r = o.merge(r)
	}
	if ok && r == o {
		return c
	}
	c.Crashes = maps.Clone(c.Crashes)
	if c.Crashes == nil {
		c.Crashes = map[Boot]Crash{}
	}
	c.Crashes[b] = r
	return c
}

// WithCleared returns the case after requests with the key were served: none of its crashes counts any more, and a
// verdict is withdrawn.
func (c Case) WithCleared() Case {
	m := maps.Clone(c.Crashes)
	for b, r := range m {
		r.Cleared, r.Starved = true, false
		m[b] = r
	}
	c.Crashes, c.Lifted = m, c.Verdict
	return c
}

// maxBeside bounds the keys that are remembered beside a key.
const maxBeside = 16

// WithBeside returns the case with the sorted keys of another request that counts against the key.
func (c Case) WithBeside(keys []Key) Case {
	if len(c.Crashes) > 0 {
		keys = slices.DeleteFunc(slices.Clone(c.Beside), func(k Key) bool { return !slices.Contains(keys, k) })
	}
	c.Beside = keys[:min(len(keys), maxBeside)]
	return c
}

// merge returns the evidence of two hosts together. It is commutative and idempotent.
func (c Case) merge(o Case) Case {
	if len(o.Crashes) > 0 {
		c = c.WithBeside(o.Beside)
	}
	for b, r := range o.Crashes {
		c = c.WithCrash(b, r, o.AskedAt)
	}
	c.Verdict, c.Lifted, c.AskedAt = max(c.Verdict, o.Verdict), max(c.Lifted, o.Lifted), max(c.AskedAt, o.AskedAt)
	if o.Served && (!c.Served || c.ServedAt < o.ServedAt) {
		c.Served, c.ServedAt = true, o.ServedAt
	}
	return c
}

// clearedBy reports whether an end at a time doesn't count since requests with the key were served after it.
func (c Case) clearedBy(end time.Duration) bool { return c.Served && end <= c.ServedAt }
