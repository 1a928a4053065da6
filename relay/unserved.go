package relay

import (
	"time"

	"github.com/sirupsen/logrus"
)

// LogUnserved logs and counts a request that isn't served, for a reason found before Serve was called. cause may be nil.
func (r *Relay) LogUnserved(id, outcome string, cause error) {
	r.countRequest("", outcome)
	e := r.Log.WithFields(logrus.Fields{"id": id, "outcome": outcome})
	if t := r.table.Load(); t != nil {
		e = e.WithFields(logrus.Fields{"current-table": t.table.Version, "current-table-age": time.Since(t.since).Milliseconds()})
	}
	if cause != nil {
		e = e.WithError(cause)
	}
	e.Warn("request: not served")
}
