package pick

import (
	"maps"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/limit"
)

const (
	// limitReportTime is how long the end of a limit is reported to other hosts.
	limitReportTime = 30 * time.Second
	// hostRetention is how long a host that a control host no longer names still counts: a control host that has just
	// started knows few of them.
	hostRetention = 3 * time.Second
)

// hostList holds the entry hosts that share the limits of endpoints.
type hostList struct {
	// self is the name of this host.
	self string
	// seenAt is when each host was last named, and all holds the sorted names of those within hostRetention.
	seenAt map[string]time.Time
	all    []string
}

// allotment returns the part of the endpoint's limit that this host may use. A host that knows no other hosts uses all
// of it.
func (s *Set) allotment(n *endpoint) limit.Allotment {
	if len(s.hosts.all) == 0 {
		return limit.Whole(n.limit.Rate)
	}
	return limit.Allot(n.limit.Rate, n.report.ID, s.hosts.self, s.hosts.all)
}

// limited reports whether the endpoint has named a limit that leaves this host no request now.
func (s *Set) limited(n *endpoint, now time.Time) bool {
	if n.limit.Rate == 0 {
		return false
	}
	n.bucket = n.bucket.At(now, s.allotment(n))
	return !n.bucket.Ready()
}

// setLimit stores a limit and reports whether its rate has changed. A new limit starts with an empty bucket.
func (n *endpoint) setLimit(l limit.Named) (changed bool) {
	changed = l.Rate != n.limit.Rate
	if n.limit.Rate == 0 && changed {
		n.bucket = limit.Bucket{}
	}
	n.limit = l
	return changed
}

// Limits returns the limits that this host knows, and those that have ended lately, by endpoint ID.
func (s *Set) Limits(now time.Time) map[string]ctlrpc.Limit {
	s.lock.Lock()
	defer s.lock.Unlock()
	r := map[string]ctlrpc.Limit{}
	for i, n := range s.endpoints {
		a := now.Sub(n.limit.HeardAt)
		if n.limit.Rate > 0 || !n.limit.HeardAt.IsZero() && a < limitReportTime {
			r[i] = ctlrpc.Limit{Rate: n.limit.Rate, Age: a}
		}
	}
	return r
}

// MergeLimits adds the limits that other hosts have heard of, and replaces older ones.
func (s *Set) MergeLimits(limits map[string]ctlrpc.Limit, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	for i, l := range limits {
		if n, ok := s.endpoints[i]; ok {
			n.setLimit(n.limit.Newer(limit.Named{Rate: l.Rate, HeardAt: now.Add(-l.Age)}))
		}
	}
}

// SetHosts sets the entry hosts that share limits, as a control host names them at now. self is the name of this host.
func (s *Set) SetHosts(self string, hosts []string, now time.Time) {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.hosts.seenAt == nil {
		s.hosts.seenAt = map[string]time.Time{}
	}
	for _, h := range hosts {
		s.hosts.seenAt[h] = now
	}
	maps.DeleteFunc(s.hosts.seenAt, func(_ string, t time.Time) bool { return now.Sub(t) > hostRetention })
	s.hosts.self, s.hosts.all = self, slices.Sorted(maps.Keys(s.hosts.seenAt))
}
