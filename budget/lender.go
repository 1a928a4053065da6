package budget

import "time"

const (
	// leaseTime is how long a host may use a share after it has asked for it.
	leaseTime = 4 * time.Second
	// holdTime is how long a control host counts a share as lent after its last exchange with the host. It exceeds leaseTime by
	// what clocks and the times of events may differ.
	holdTime = 5 * time.Second
	// keptShares is how many shares are kept for a host that starts, which would else wait until the others give back a part of theirs.
	keptShares = 0.5
	// lackShare is the part of the starting balances that is kept for hosts that lack a retry for their next request.
	lackShare = 0.2
	// likeShare replaces it for hosts that lack nothing and start.
	likeShare = 0.5
)

// lease is a share that was lent, and the time until which it may be in use.
type lease struct {
	share float64
	until time.Duration
}

// borrower is an entry host to which shares are lent.
type borrower struct {
	// start identifies the process of the host.
	start int64
	// now is what the host holds or may hold by the last exchange, and before what it may still hold of former connections and processes.
	now    lease
	before []lease
}

// start is a starting balance or a piece that was granted, as a part of the slack, with the time.
type start struct {
	part float64
	at   time.Duration
}

// lender lends one control host's part of the slack.
type lender struct {
	// began is when the process of the control host began.
	began     time.Duration
	borrowers map[string]*borrower
	// starts holds the starting balances of late, and pieces the pieces, both by service and the oldest first.
	starts, pieces map[string][]start
	// peaks holds the sum of all shares.
	peaks peaks
	// controls holds the number of control hosts.
	controls peaks
}

func newLender(now time.Duration) lender {
	return lender{began: now, borrowers: map[string]*borrower{}, starts: map[string][]start{}, pieces: map[string][]start{}}
}

// lend returns the loan to a host. The shares of all borrowers together never exceed the part of this control host, whatever it
// knows of them: a host gets no more than what the others can't hold any more.
func (l *lender) lend(r Request, now time.Duration) Loan {
	l.expire(now)
	r.Controls = l.countControls(r, now)
	b, ok := l.borrowers[r.Host]
	if !ok {
		b = &borrower{start: r.Start}
		l.borrowers[r.Host] = b
	}
	if r.Begin || r.Start != b.start {
		if b.now.share > 0 {
			b.before = append(b.before, b.now)
		}
		b.start, b.now = r.Start, lease{}
	}
	h := min(b.now.share, r.Holding.Share)
	b.now = lease{h, now + holdTime}
	n := Loan{AskedAt: r.Holding.AskedAt, Lease: leaseTime}
	if r.New || now >= l.began+holdTime {
		p := l.lendable(r, now)
		s, k := l.lent()
		n.Share = max(0, min(p/(float64(k)+keptShares), p-s+h))
		b.now.share = max(h, n.Share)
	}
	s, _ := l.lent()
	l.peaks.add(s, now)
	l.grant(r, now, &n)
	return n
}

// countControls returns the greatest number of control hosts of late, or 0 if this one isn't among them: a window and holdTime after others were
// removed, nothing that those have lent counts in a window any more.
func (l *lender) countControls(r Request, now time.Duration) int {
	if r.Controls == 0 {
		return 0
	}
	l.controls.add(float64(r.Controls), now)
	return int(l.controls.max(r.Window+holdTime, now))
}

// lendable returns the sum of the shares that may be lent: what pieces that may be in use leave.
func (l *lender) lendable(r Request, now time.Duration) float64 {
	n := r.part()
	for s := range l.pieces {
		n = min(n, r.part()-sum(since(l.pieces[s], now-holdTime))/slackShare)
	}
	return max(0, n)
}

// sum returns the sum of what was granted.
func sum(list []start) (n float64) {
	for _, o := range list {
		n += o.part
	}
	return n
}

// lent returns the sum of the shares that may be in use, and among how many the part is divided.
func (l *lender) lent() (sum float64, shares int) {
	for _, b := range l.borrowers {
		sum += b.now.share
		for _, o := range b.before {
			sum += o.share
		}
		shares += 1 + len(b.before)
	}
	return sum, shares
}

// expire forgets the shares that have ended, and hosts that hold none.
func (l *lender) expire(now time.Duration) {
	for h, b := range l.borrowers {
		var k []lease
		for _, o := range b.before {
			if o.until > now {
				k = append(k, o)
			}
		}
		if b.before = k; b.now.until <= now && len(k) == 0 {
			delete(l.borrowers, h)
		}
	}
}

// grant grants a host what it lacks for its next retry: a piece, or else a starting balance.
func (l *lender) grant(r Request, now time.Duration, n *Loan) {
	for s, v := range r.Statements {
		if g := l.grantPiece(s, v, r, now); g > 0 {
			n.Pieces = with(n.Pieces, s, g)
		} else if g := l.grantStart(s, v, r, now); g > 0 {
			n.Starts = with(n.Starts, s, g)
		}
	}
}

// with returns a map with a value, which is made if there is none: an empty one would be sent.
func with(m map[string]float64, key string, v float64) map[string]float64 {
	if m == nil {
		m = map[string]float64{}
	}
	m[key] = v
	return m
}

// grantPiece grants a piece out of what was lent to nobody as a share in the last window. Each piece counts as long as a window may begin
// before its end that contains this time.
func (l *lender) grantPiece(service string, v Statement, r Request, now time.Duration) float64 {
	if v.Likes <= 0 || !r.New && now < l.began+r.Window+holdTime {
		return 0
	}
	g := since(l.pieces[service], now-r.Window-holdTime)
	f := slackShare*(r.part()-l.peaks.max(r.Window, now)) - sum(g)
	n := v.Likes
	if n > f {
		n = v.Lacks
	}
	if n > f {
		n = 0
	}
	if n > 0 {
		g = append(g, start{n, now})
	}
	l.pieces[service] = g
	return n
}

// grantStart grants a starting balance out of what is left of this control host's part in the last window. Each one counts for holdTime longer, in which
// its reply may be under way. A host that says what it lacks gets that or nothing: a part of a retry is of no use.
func (l *lender) grantStart(service string, v Statement, r Request, now time.Duration) float64 {
	if v.Start <= 0 || !r.New && now < l.began+r.Window+holdTime {
		return 0
	}
	g := since(l.starts[service], now-r.Window-holdTime)
	f := startShare*r.part() - sum(g)
	n := min(f, v.Start)
	if v.OnDemand {
		n = v.demand(f, r.part()*startShare)
	}
	if n > 0 {
		g = append(g, start{n, now})
	}
	l.starts[service] = g
	return n
}

// demand returns what of the starting balances is granted to a host that says what it lacks, with what is left of a part of the slack.
func (v Statement) demand(left, part float64) float64 {
	switch {
	case v.Likes > 0 && v.Likes <= left-lackShare*part:
		return min(v.Start, v.Likes)
	case v.Lacks > 0 && min(v.Start, v.Lacks) <= left:
		return min(v.Start, v.Lacks)
	case v.Likes == 0 && v.Start <= left-likeShare*part:
		return v.Start
	}
	return 0
}

// since returns what was granted after a time, the oldest first.
func since(list []start, at time.Duration) []start {
	for len(list) > 0 && list[0].at <= at {
		list = list[1:]
	}
	return list
}
