package intake

import "time"

const (
	// stallTime is how long no byte of a request may come until it counts as stalled.
	stallTime = time.Second
	// youngTime is how long after its beginning a request isn't judged by its speed, which isn't known yet.
	youngTime = 250 * time.Millisecond
	// smallBytes is what a request may take without being dropped before larger ones: dropping it frees little.
	smallBytes = 16 << 10
)

// standing is what decides which of several requests is dropped first: by cause, in the order of the values of Cause, and then by the rest.
type standing struct {
	cause Cause
	small bool
	// silence is the time since the last byte, speed the number of bytes per second, and taken the memory.
	silence time.Duration
	speed   float64
	taken   int64
}

// standingOf returns the standing of a share whose request hasn't arrived whole.
func (s *Share) standingOf(now time.Time) standing {
	r := standing{small: s.taken < smallBytes, taken: s.taken}
	age := now.Sub(s.began)
	if !s.waiting { // one that waits for memory isn't read, so that its silence is that of the host
		r.silence = now.Sub(time.Unix(0, s.progress.Load()))
	}
	r.speed = float64(s.received.Load()) / max(age, time.Millisecond).Seconds()
	switch {
	case r.silence >= stallTime:
		r.cause = Stalled
	case age >= youngTime:
		r.cause = Slow
	default:
		r.cause = Large
	}
	return r
}

// isBefore reports whether a request with this standing is dropped before another one: small ones last, then stalled ones, then slow ones,
// then large ones of those that began a moment ago.
func (r standing) isBefore(o standing) bool {
	switch {
	case r.small != o.small:
		return o.small
	case r.cause != o.cause:
		return r.cause < o.cause
	case r.cause == Stalled:
		return r.silence > o.silence
	case r.cause == Slow:
		return r.speed < o.speed
	}
	return r.taken > o.taken
}

// isIn reports whether a share counts for the limit of a scope to which another one belongs.
func (s *Share) isIn(k scope, o *Share) bool {
	switch k {
	case oneAddress:
		return s.options.Address == o.options.Address
	case oneOwner:
		return s.owner == o.owner
	}
	return true
}

// worst returns the request that is dropped first for a share of a scope, and why, or nil if none may be dropped. Requests that have
// arrived whole are never dropped, and those without memory only if s is nil, for their connections.
func (a *Account) worst(k scope, s *Share, now time.Time) (*Share, Cause) {
	var v *Share
	var w standing
	n := 0
	for o := range a.shares {
		if !o.arriving || o.cause != Kept || s != nil && (!o.isIn(k, s) || o.taken == 0 && o != s) {
			continue
		}
		n++
		if r := o.standingOf(now); v == nil || r.isBefore(w) {
			v, w = o, r
		}
	}
	if n == 1 && v == s {
		return v, NoRoom // it is dropped whatever its standing
	}
	return v, w.cause
}
