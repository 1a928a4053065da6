// Package budget bounds the retries of requests to a service over all entry hosts, connected to each other or not. Each host
// has a balance that its own requests fill up to a cap. The cap grows with its requests of late and with its share of the slack,
// which a control host lends to it. What one host doesn't need is lent to others by the control host with which they exchange
// messages. The package uses no network and no clock: times are durations since an origin that the caller chooses.
//
// The retries in a window are at most the balances at its begin, the deposits in it, what is lent then of deposits shortly before it, the
// starting balances granted in it, and the pieces that are granted in it or may still be used at its begin. With r requests in the window and
// b in the one before it, s the sum of the shares lent at its begin, and g that of those pieces, that is
//
//	slackShare * s * Slack + g + windowShare * Ratio * b + depositShare * Ratio * r + lent + s' * startShare * Slack
//
// where s' is the sum of the parts of which starting balances are granted. A control host lends 1/(n+1) at most if n control
// hosts are in the control log as it knows it, so that s and s' don't exceed 1 even if one that was added or removed counts
// another n. It grants pieces only of what it has lent to nobody as a share within the last window, and lends shares only of what no piece
// in use takes, so that slackShare * s * Slack + g doesn't exceed slackShare * Slack. No number of entry hosts is part of it: a host that
// knows of no other, or that just started, has no share of the slack. No deposit is used beyond the balance cap of its host: deposits of
// one pulse of requests, used after it, would else count in the window of the next pulse. Where
// requests come evenly, lent is at most depositShare * Ratio * r * lendTime / Window; it isn't bounded for pulses (KNOWN-RED.txt). Hence
//
//	slackShare + startShare <= 1 and depositShare + windowShare + lent / (Ratio * r) <= 1
package budget

import (
	"math"
	"sync"
	"time"
)

const (
	// Each request adds depositShare of the retries that the ratio allows for it to the balance. The balance may grow
	// up to windowShare of the retries that the ratio allows for the requests of a window, plus the share of the slack.
	// Both together, with what is lent for a part of the window, stay below 1.
	depositShare = 0.76
	windowShare  = 0.19
	// slackShare is the part of the slack that is lent to the hosts as shares, and startShare that granted as starting balances.
	slackShare = 0.75
	startShare = 1 - slackShare
	// reserveShare is the part of the balance cap beyond one retry that WithdrawOptional leaves for retries after faults, and
	// scarceReserve replaces it while nothing is lent to a host that wants it.
	reserveShare  = 0.2
	scarceReserve = 0.5
	// enough is what a host may want, in retries, without missing it.
	enough = 0.5
)

// Limits are what a service accepts: Ratio retries for each request within a window, plus Slack retries in each window that
// all hosts share.
type Limits struct {
	Ratio, Slack float64
	// Window is at least 1 s.
	Window time.Duration
}

// Host bounds the retries of one entry host. Without a Pool it has no share of the slack. It is safe for concurrent use.
type Host struct {
	limits Limits

	lock     sync.Mutex
	services map[string]*account
	// loan is what the control host has lent last. It is empty before its first reply on a connection. before is the loan of a
	// former connection, which that control host counts until it ends.
	loan, before Loan
	// control identifies the process of the control host that lends to this host, or is empty before its first reply on a
	// connection.
	control string
	// acceptedAt is when the last loan that was taken over was asked for.
	acceptedAt time.Duration
}

// account is the budget of one service on this host.
type account struct {
	// balance is the number of retries that may be made now, at most the balance cap when the account was updated.
	balance float64
	// pieces holds what may be used beyond the balance, the oldest first.
	pieces pieces
	// requests holds those of the last window when the account was updated.
	requests recentCount
	updated  time.Duration
	// started is set once the balance has been as high as a starting balance, or a window after createdAt.
	started   bool
	createdAt time.Duration
	// spare is the sum of all that this host could not keep since its start.
	spare float64
	// wanted is what the last statement asked for, and lent is set if about as much was lent since, or nothing was needed.
	wanted float64
	lent   bool
	// lacked is what the last statement asked for as a part of the slack, and askedAt when the last request came.
	lacked  float64
	askedAt time.Duration
	// granted is the sum of all that the control host has lent, by its last reply.
	granted Grant
}

// NewHost returns the budget of a host that has just started, without a balance or a share of the slack. Windows below 1 s
// count as 1 s.
func NewHost(l Limits) *Host {
	l.Window = max(l.Window, time.Second)
	return &Host{limits: l, services: map[string]*account{}, acceptedAt: math.MinInt64}
}

// Deposit counts a request to a service and adds its share of a retry to the balance.
func (h *Host) Deposit(service string, now time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	a := h.account(service, now)
	a.requests.add()
	a.askedAt = now
	h.add(a, h.limits.Ratio*depositShare)
}

// add raises the balance of an account that is up to date to its cap at most. What is above it is spare.
func (h *Host) add(a *account, retries float64) {
	n := a.balance + retries
	a.balance = min(h.balanceCap(a, a.updated), n)
	a.spare += max(0, n-a.balance)
}

// Expect makes a service known, so that a starting balance is asked for before its first request.
func (h *Host) Expect(service string, now time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.account(service, now)
}

// account returns the budget of a service at a time. The caller holds the lock. A new budget starts empty.
func (h *Host) account(service string, now time.Duration) *account {
	a, ok := h.services[service]
	if !ok {
		a = &account{createdAt: now, updated: now}
		h.services[service] = a
	}
	h.update(a, now)
	return a
}

// update advances an account to a time: it lowers the balance to its cap, which falls as requests become old and as the share ends.
// What the age of the requests took within lendTime is spare.
func (h *Host) update(a *account, now time.Duration) {
	e, o := max(0, now-a.updated), a.requests.sum()
	a.updated += e
	a.requests.advance(a.updated, h.limits.Window)
	n := max(0, a.balance-h.balanceCap(a, a.updated))
	a.balance -= n
	if e <= lendTime {
		a.spare += min(n, (o-a.requests.sum())*h.limits.Ratio*windowShare)
	}
	h.fill(a, a.pieces.takeEnding(a.updated))
}

// fill raises a balance to its cap at most.
func (h *Host) fill(a *account, retries float64) {
	a.balance = max(a.balance, min(h.balanceCap(a, a.updated), a.balance+retries))
}

// updateAll advances all accounts to a time.
func (h *Host) updateAll(now time.Duration) {
	for _, a := range h.services {
		h.update(a, now)
	}
}

// share returns the host's share of the slack at a time.
func (h *Host) share(now time.Duration) float64 {
	return max(h.loan.shareAt(now), h.before.shareAt(now))
}

// balanceCap returns the highest balance of a service, in retries.
func (h *Host) balanceCap(a *account, now time.Duration) float64 {
	return h.share(now)*slackShare*h.limits.Slack + a.requests.sum()*h.limits.Ratio*windowShare
}

// Level is what a host has of the budget of a service. Balance and Cap are in retries.
type Level struct {
	Balance, Cap float64
	// Share is the host's share of the slack, and LoanAge the time since it asked for that.
	Share   float64
	LoanAge time.Duration
}

// Level returns what is left of the budget of a service.
func (h *Host) Level(service string, now time.Duration) Level {
	h.lock.Lock()
	defer h.lock.Unlock()
	a := h.account(service, now)
	return Level{Balance: a.balance + a.pieces.sum(), Cap: h.balanceCap(a, now), Share: h.share(now), LoanAge: now - max(h.loan.AskedAt, h.before.AskedAt)}
}

// Withdraw takes one retry after a fault from the balance. It reports false if less than one is left.
func (h *Host) Withdraw(service string, now time.Duration) bool { return h.withdraw(service, 0, now) }

// WithdrawOptional takes one retry that improves an answer but is not needed for one, such as an escalation. It
// reports false if the balance would fall below the reserve for retries after faults.
func (h *Host) WithdrawOptional(service string, now time.Duration) bool {
	return h.withdraw(service, scarceReserve, now)
}

// withdraw takes one retry, unless the balance would fall below the part reserve of what may be kept beyond one, or reserveShare of
// it where others lend what is missing.
func (h *Host) withdraw(service string, reserve float64, now time.Duration) bool {
	h.lock.Lock()
	defer h.lock.Unlock()
	a := h.account(service, now)
	if a.lent {
		reserve = min(reserve, reserveShare)
	}
	if a.balance+a.pieces.sum() < withReserve(h.balanceCap(a, now), reserve) {
		return false
	}
	a.balance -= 1 - a.pieces.take(1)
	return true
}

// withReserve returns the balance of which one retry may be taken and a part of what may be kept beyond one is left. It doesn't
// exceed a balance cap of 1 or more.
func withReserve(balanceCap, reserve float64) float64 { return 1 + reserve*max(0, balanceCap-1) }

// Begin prepares for exchanges on a new connection. Its control host doesn't know what was lent before. The share may be used until
// its lease ends.
func (h *Host) Begin(now time.Duration) {
	h.lock.Lock()
	defer h.lock.Unlock()
	h.updateAll(now)
	if h.loan.shareAt(now) >= h.before.shareAt(now) {
		h.before = h.loan
	}
	h.control, h.loan = "", Loan{}
	for _, a := range h.services {
		a.lent = false
	}
}
