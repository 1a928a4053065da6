package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// sendDueHeartbeats sends a heartbeat to each host whose interval has elapsed. While the configuration lists no
// members, all hosts get the shorter interval.
func (r *reducer) sendDueHeartbeats() {
	l := r.Leader()
	for _, m := range r.members() {
		e := remoteHeartbeatInterval
		if m.Name == l || m.DataCentre == r.Members.Self.DataCentre || len(r.Config.Members) == 0 {
			e = heartbeatInterval
		}
		c, ok := r.peerProgress.Get(m.Name)
		if !ok || r.Now >= c.sentAt+e {
			r.sendHeartbeat(m)
		}
	}
}

// broadcastHeartbeat sends a heartbeat to every host without waiting for the interval.
func (r *reducer) broadcastHeartbeat() {
	for _, m := range r.members() {
		r.sendHeartbeat(m)
	}
}

// sendHeartbeat sends a heartbeat to a host other than this one.
func (r *reducer) sendHeartbeat(m model.Member) {
	if m.Name == r.Members.Self.Name {
		return
	}
	c, _ := r.peerProgress.Get(m.Name)
	c.sentAt = r.Now
	r.peerProgress = r.peerProgress.Set(m.Name, c)
	r.emit(SendHeartbeat{Sent: SentHeartbeat{To: m.Name, At: r.Now, Ratings: r.ratingsTo}, Heartbeat: r.newHeartbeat(c)})
}

// newHeartbeat returns a heartbeat with the announcements and ratings that the receiver hasn't confirmed. It lists
// all quarantined subjects, whether confirmed or not.
func (r *reducer) newHeartbeat(c progress) member.Heartbeat {
	b := member.Heartbeat{Self: r.Members.Self, RatingsTo: r.ratingsTo, RatingsSeen: c.ratingsSeen}
	for i := r.announcedAt.Iterator(); !i.Done(); {
		k, t, _ := i.Next()
		if n, ok := r.Routes.Endpoint(k); ok && t > c.announcementsUntil {
			b.Sightings = append(b.Sightings, member.Announcement{Endpoint: n.Endpoint, Age: r.Now - t})
		}
	}
	if d := r.ratingsTo - c.ratingsConfirmed; c.ratingsConfirmed <= r.ratingsTo && d > 0 {
		b.Ratings = r.lastRatings(int(d))
	}
	for _, e := range r.Routes.Evidence.Entries() {
		if e.Stat.Health == route.Quarantined {
			b.Quarantined = append(b.Quarantined, e.Subject)
		}
	}
	return b
}

// heartbeatReceived merges another host's heartbeat and answers it.
func (r *reducer) heartbeatReceived(e HeartbeatReceived) {
	s := e.Heartbeat.Self
	r.Members = r.Members.WithHeartbeat(s, r.Now, r.Members.Self.Leading)
	c, _ := r.peerProgress.Get(s.Name)
	c = r.mergeHeartbeat(e.Heartbeat, c)
	r.peerProgress = r.peerProgress.Set(s.Name, c)
	r.refreshSelf()
	r.emit(AnswerHeartbeat{ID: e.ID, Heartbeat: member.Heartbeat{Self: r.Members.Self, RatingsSeen: c.ratingsSeen}})
	r.pullNewer(s)
	r.answerPendingChanges()
}

// heartbeatAnswered records what another host has confirmed: all announcements up to the heartbeat's send time, and
// the ratings up to the number in the answer.
func (r *reducer) heartbeatAnswered(e HeartbeatAnswered) {
	s := e.Heartbeat.Self
	r.Members = r.Members.WithHeartbeatAnswer(s, e.Sent.At, r.Now)
	c, _ := r.peerProgress.Get(s.Name)
	c.announcementsUntil = max(c.announcementsUntil, e.Sent.At)
	c.ratingsConfirmed = e.Heartbeat.RatingsSeen
	r.peerProgress = r.peerProgress.Set(s.Name, c)
	r.trimRatings()
	r.refreshSelf()
	r.pullNewer(s)
	r.answerPendingChanges()
}

// heartbeatFailed does nothing: the next heartbeat carries everything that is unconfirmed.
func (r *reducer) heartbeatFailed(HeartbeatFailed) {}

// pullNewer fetches the configuration of a host that has a newer revision. The answer also carries that host's evidence
// and endpoints, which this host lacks after a start.
func (r *reducer) pullNewer(s member.Self) {
	if s.Revision > r.Config.Revision {
		r.emit(PullConfig{From: s.Name})
	}
}

// mergeHeartbeat merges the announcements, ratings and quarantined subjects of a heartbeat and returns the updated
// progress of its sender. Ratings that were applied before are skipped. A RatingsTo below the last number seen
// means that the sender has restarted its numbering.
func (r *reducer) mergeHeartbeat(b member.Heartbeat, c progress) progress {
	for _, g := range b.Sightings {
		r.mergeAnnouncement(g)
	}
	if b.RatingsTo < c.ratingsSeen {
		c.ratingsSeen = 0
	}
	k := int(min(uint64(len(b.Ratings)), b.RatingsTo-c.ratingsSeen))
	for _, t := range b.Ratings[len(b.Ratings)-k:] {
		r.applyRating(t, b.Name)
	}
	c.ratingsSeen = b.RatingsTo
	for _, q := range b.Quarantined {
		if r.Routes.Evidence.Stat(q).Health != route.Quarantined {
			r.Routes.Evidence = r.Routes.Evidence.WithQuarantine(q)
			r.log("route", "quarantined a version that another host reports as quarantined",
				Field{"version", q.Version}, Field{"class", q.Class}, Field{"host", b.Name})
		}
	}
	return c
}

// mergeAnnouncement merges an endpoint's announcement and starts queued requests.
func (r *reducer) mergeAnnouncement(g member.Announcement) {
	r.Routes = r.Routes.WithAnnouncement(g.Endpoint, r.Now-g.Age, r.Now)
	r.startQueued()
}

// endpointAnnounced merges an endpoint's announcement. If the endpoint is new, restarted, began or stopped leaving,
// or holds a different number of versions, all hosts get a heartbeat at once.
func (r *reducer) endpointAnnounced(e EndpointAnnounced) {
	o, ok := r.Routes.Endpoint(e.Endpoint.ID)
	r.announcedAt = r.announcedAt.Set(e.Endpoint.ID, r.Now)
	r.mergeAnnouncement(member.Announcement{Endpoint: e.Endpoint})
	n, _ := r.Routes.Endpoint(e.Endpoint.ID)
	if ok && o.Incarnation == n.Incarnation && o.Leaving == n.Leaving && len(o.Holds) == len(n.Holds) {
		return
	}
	r.log("member", "an endpoint announced itself", Field{"endpoint", n.ID}, Field{"incarnation", n.Incarnation},
		Field{"holds", n.Holds}, Field{"leaving", n.Leaving})
	r.broadcastHeartbeat()
}

// configPulled merges another host's endpoints, evidence and configuration.
func (r *reducer) configPulled(e ConfigPulled) {
	for _, g := range e.Nodes {
		r.mergeAnnouncement(g)
	}
	r.Routes.Evidence = r.Routes.Evidence.WithEntries(e.Evidence, r.Now)
	r.adoptConfig(e.Config)
}

// maxObservations is the maximum number of ratings of the kinds Fault and TokenTime per second that a host applies and
// sends to other hosts. Further ones are dropped regardless of their value, so that dropping ratings doesn't change the
// share of bad ones.
const maxObservations = 20

// allowObservation reports whether a rating may be applied under the limit of maxObservations, and takes a token from
// the token bucket if so. Quality ratings aren't limited.
func (r *reducer) allowObservation(t route.Rating) bool {
	if t.Kind == route.Quality {
		return true
	}
	r.observationTokens = min(maxObservations, r.observationTokens+maxObservations*(r.Now-r.observationsRefilledAt).Seconds())
	r.observationsRefilledAt = r.Now
	if r.observationTokens < 1 {
		return false
	}
	r.observationTokens--
	return true
}

// lastRatings returns up to count of the newest ratings made at this host, oldest first.
func (r *reducer) lastRatings(count int) []route.Rating {
	var l []route.Rating
	for i := max(0, r.ratings.Len()-count); i < r.ratings.Len(); i++ {
		l = append(l, r.ratings.Get(i))
	}
	return l
}

// ratingReceived numbers, stores and applies a rating made at this host.
func (r *reducer) ratingReceived(e RatingReceived) {
	if !r.allowObservation(e.Rating) {
		return
	}
	r.ratingsTo++
	r.ratings = r.ratings.Append(e.Rating)
	r.applyRating(e.Rating, r.Members.Self.Name)
}

// maxRatings is the maximum number of ratings kept for hosts that haven't confirmed them.
const maxRatings = 1000

// trimRatings drops the ratings that all alive hosts have confirmed, and those beyond maxRatings.
func (r *reducer) trimRatings() {
	l := r.ratingsTo
	for _, m := range r.members() {
		if m.Name == r.Members.Self.Name || !r.Members.Alive(m.Name, r.Now) {
			continue
		}
		c, _ := r.peerProgress.Get(m.Name)
		l = min(l, c.ratingsConfirmed)
	}
	k := min(maxRatings, int(r.ratingsTo-l))
	if n := r.ratings.Len(); k < n {
		r.ratings = r.ratings.Slice(n-k, n)
	}
}

// applyRating adds a rating to the evidence. If the rating changes the version's health to anything but Healthy, all
// hosts get a heartbeat at once. from is the name of the host that made the rating.
func (r *reducer) applyRating(t route.Rating, from string) {
	e, b, a := r.Routes.Evidence.WithRating(t, r.Now)
	r.Routes.Evidence = e
	if a == b {
		return
	}
	r.log("route", "a version's health changed", Field{"version", t.Version}, Field{"class", t.Class},
		Field{"health", a}, Field{"host", from})
	if a != route.Healthy {
		r.emit(IncrementMetric{Metric: `hickoryshelf_versions_doubted_total{version="` + t.Version + `"}`})
		r.broadcastHeartbeat()
	}
}

// stopping makes the host refuse new requests, refuses the queued ones except retries, and sends a heartbeat to all
// hosts.
func (r *reducer) stopping() {
	s := r.Members.Self
	s.Stopping = true
	r.Members = r.Members.WithSelf(s)
	r.log("host", "takes no new requests, finishes the requests in flight")
	r.refuseQueuedOnStop()
	r.broadcastHeartbeat()
}

// expireAnnouncements drops the endpoints that haven't announced themselves to this host for longer than after.
func (r *reducer) expireAnnouncements(after time.Duration) {
	for i := r.announcedAt.Iterator(); !i.Done(); {
		k, t, _ := i.Next()
		if r.Now-t > after {
			r.announcedAt = r.announcedAt.Delete(k)
		}
	}
}
