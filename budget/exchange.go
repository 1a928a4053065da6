package budget

import "time"

// Statement is what a host reports of its budget of a service.
type Statement struct {
	// Spare is the sum of the retries that the host could not keep since its start.
	Spare float64
	// Wanted is the number of retries that it would keep now.
	Wanted float64
	// Start is the part of the slack that it wants for its starting balance, or lacks below its cap.
	Start float64
	// OnDemand is set by builds that say what they lack.
	OnDemand bool
	// Lacks is the part of the slack that it lacks, also beyond its cap, to make an optional retry for its next request, and Likes that
	// to make one without another request.
	Lacks, Likes float64
}

// Grant is what a control host has lent to a host since it knows that one, in retries.
type Grant float64

// Holding is the share of the slack that a host has from a control host when it asks that one for another share.
type Holding struct {
	Share float64
	// AskedAt is when the host asks, on its own clock.
	AskedAt time.Duration
}

// Loan is a share of the slack that a control host lends to a host in place of the one before.
type Loan struct {
	Share float64
	// AskedAt is that of the Holding, and Lease how long from then on the share may be used.
	AskedAt time.Duration
	Lease   time.Duration
	// Starts holds the parts of the slack that are granted for balances below their caps, by service.
	Starts map[string]float64
	// Pieces holds the parts of the slack that may be used beyond the caps until the lease ends, by service. Older builds ignore it.
	Pieces map[string]float64
}

// shareAt returns the share at a time.
func (l Loan) shareAt(now time.Duration) float64 {
	if now >= l.AskedAt+l.Lease {
		return 0
	}
	return l.Share
}

// Holding returns the share that the host has on this connection at a time.
func (h *Host) Holding(now time.Duration) Holding {
	h.lock.Lock()
	defer h.lock.Unlock()
	return Holding{Share: h.loan.shareAt(now), AskedAt: now}
}

// Statements returns the statement about each service.
func (h *Host) Statements(now time.Duration) map[string]Statement {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.updateAll(now)
	r := make(map[string]Statement, len(h.services))
	for s, a := range h.services {
		r[s] = h.statement(a)
	}
	return r
}

// statement returns the statement about an account that is up to date.
func (h *Host) statement(a *account) Statement {
	c := h.balanceCap(a, a.updated)
	a.wanted = max(0, c-a.balance)
	d := h.limits.Ratio * depositShare
	n := Statement{Spare: a.spare, Wanted: a.wanted, OnDemand: true}
	if h.limits.Slack <= 0 || h.loan.Lease == 0 { // nothing is known of the cap yet
		a.lacked = 0
		return n
	}
	l := withReserve(c+h.limits.Ratio*windowShare, reserveShare) - a.balance - a.pieces.sum()
	n.Lacks = h.part(l - d)
	n.Likes = n.Lacks
	if a.requests.sum() > 0 && a.updated <= a.askedAt+likeTime {
		n.Likes = h.part(l)
	}
	n.Start = max(h.missingStart(a, c), min(n.Likes, (a.wanted-a.pieces.sum())/h.limits.Slack))
	a.lacked = n.Lacks
	return n
}

// likeTime is how long after a request another retry of it is expected. Answers that are judged, and then asked for again, take about as long.
const likeTime = time.Second

// part returns a number of retries, at most 1, as a part of the slack. A control host grants whole numbers asked for only, so that a host
// asks for one at a time.
func (h *Host) part(retries float64) float64 { return min(1, max(0, retries)) / h.limits.Slack }

// missingStart returns what an account with a balance cap lacks of its starting balance, as a part of the slack. A starting
// balance holds at least one retry above the reserve, so that WithdrawOptional succeeds on a host that has just started.
func (h *Host) missingStart(a *account, balanceCap float64) float64 {
	n := 1 + scarceReserve*balanceCap
	a.started = a.started || a.balance >= n || a.updated > a.createdAt+h.limits.Window
	if a.started {
		return 0
	}
	return max(0, min(n, balanceCap)-a.balance) / h.limits.Slack
}

// acceptOnce records a loan and returns what of it may be taken over: nothing of one that has ended or was asked for before the last one, and no starting balances
// and pieces of one that was taken over already, as the control host counts them once.
func (h *Host) acceptOnce(l Loan, now time.Duration) Loan {
	if now >= l.AskedAt+l.Lease || l.AskedAt < h.acceptedAt {
		return Loan{}
	}
	if l.AskedAt == h.acceptedAt {
		l.Starts, l.Pieces = nil, nil
	}
	h.acceptedAt = l.AskedAt
	return l
}

// Accept takes over what a control host has lent. control identifies its process: sums of another one begin anew. What was
// lent with a reply that was lost comes with the next one.
func (h *Host) Accept(control string, l Loan, grants map[string]Grant, now time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.updateAll(now) // the share before may have ended
	l = h.acceptOnce(l, now)
	if l.Lease > 0 { // else the control host goes on to count the loan before
		h.loan = l
	}
	h.updateAll(now)
	if control != h.control {
		h.control = control
		for _, a := range h.services {
			a.granted = 0
		}
	}
	for s, a := range h.services {
		g := grants[s]
		n := max(0, float64(g-a.granted))
		a.lent = a.wanted < enough || n >= a.wanted/2 || l.Lease > 0 && l.Starts[s]+l.Pieces[s] >= a.lacked
		// What is above the cap isn't lent once more: it would last longer than lendTime.
		h.fill(a, l.Starts[s]*h.limits.Slack+n)
		if v := l.Pieces[s] * h.limits.Slack; v > 0 {
			a.pieces.add(piece{v, l.AskedAt + l.Lease})
		}
		a.granted = max(a.granted, g)
	}
}
