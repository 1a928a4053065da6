package relay

import (
	"time"

	"github.com/sirupsen/logrus"
)

// LogUnserved logs and counts a request that isn't served, for a reason found before Serve was called. cause may be nil.
func (r *Relay) LogUnserved(id, outcome string, cause error) {
	r.logUnserved(id, outcome, cause, nil)
}

// DenyUnserved returns the refusal of a request that exceeds a limit of the routing table of a version, found before Serve was called, and
// logs and counts it. The refusal gives the reason only if that table is in force and known to be the newest. cause may be nil.
func (r *Relay) DenyUnserved(id string, reason Reason, version int64, cause error) Refusal {
	d, f := Refusal{Reason: Unconfirmed, RetryAfter: unconfirmedRetryAfter}, logrus.Fields{"denial": reason.String()}
	if v := r.table.Load(); v != nil && v.table.Version == version {
		n := r.Now()
		d, f = v.denial(reason, n-r.ApplyTime), v.denialFields(reason, n)
	}
	r.logUnserved(id, d.Reason.String(), cause, f)
	return d
}

// RefuseUnserved returns the refusal of a request that was dropped for want of memory before Serve was called, and logs and counts it.
func (r *Relay) RefuseUnserved(id string, cause error) Refusal {
	r.logUnserved(id, BodyDropped.String(), cause, nil)
	return Refusal{Reason: BodyDropped, RetryAfter: bodyDroppedRetryAfter}
}

// logUnserved is like LogUnserved with further fields in the line.
func (r *Relay) logUnserved(id, outcome string, cause error, f logrus.Fields) {
	r.countRequest("", outcome)
	e := r.Log.WithFields(f).WithFields(logrus.Fields{"id": id, "outcome": outcome})
	if t := r.table.Load(); t != nil {
		e = e.WithFields(logrus.Fields{"current-table": t.table.Version, "current-table-age": time.Since(t.since).Milliseconds()})
	}
	if cause != nil {
		e = e.WithError(cause)
	}
	e.Warn("request: not served")
}
