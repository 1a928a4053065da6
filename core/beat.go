package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// sendBeats sends the heartbeats that are due.
func (r *reducer) sendBeats() {
	l := r.Leader()
	for _, m := range r.members() {
		e := farBeatEvery
		if m.Name == l || m.DataCentre == r.Members.Self.DataCentre || len(r.Config.Members) == 0 {
			e = beatEvery
		}
		c, ok := r.spread.Get(m.Name)
		if !ok || r.Now >= c.sent+e {
			r.beat(m)
		}
	}
}

// beatAll sends a heartbeat to every host at once.
func (r *reducer) beatAll() {
	for _, m := range r.members() {
		r.beat(m)
	}
}

func (r *reducer) beat(m model.Member) {
	if m.Name == r.Members.Self.Name {
		return
	}
	c, _ := r.spread.Get(m.Name)
	c.sent = r.Now
	r.spread = r.spread.Set(m.Name, c)
	r.emit(SendBeat{Sent: BeatSent{To: m.Name, At: r.Now, Ratings: r.ratingsTo}, Beat: r.newBeat(c)})
}

// newBeat describes this host and lists what the receiver lacks.
func (r *reducer) newBeat(c cursor) member.Beat {
	b := member.Beat{Self: r.Members.Self, RatingsTo: r.ratingsTo, RatingsSeen: c.seen}
	for i := r.direct.Iterator(); !i.Done(); {
		k, t, _ := i.Next()
		if n, ok := r.Routes.Endpoint(k); ok && t > c.sightings {
			b.Sightings = append(b.Sightings, member.Sighting{Endpoint: n.Endpoint, Age: r.Now - t})
		}
	}
	if d := r.ratingsTo - c.ratings; c.ratings <= r.ratingsTo && d > 0 {
		b.Ratings = r.lastRatings(int(d))
	}
	for _, e := range r.Routes.Evidence.Entries() {
		if e.Stat.Health == route.Quarantined {
			b.Quarantined = append(b.Quarantined, e.Subject)
		}
	}
	return b
}

func (r *reducer) beatReceived(e BeatReceived) {
	s := e.Beat.Self
	r.Members = r.Members.WithHeard(s, r.Now, r.Members.Self.Leading)
	c, _ := r.spread.Get(s.Name)
	c = r.learn(e.Beat, c)
	r.spread = r.spread.Set(s.Name, c)
	r.refreshSelf()
	r.emit(AnswerBeat{ID: e.ID, Beat: member.Beat{Self: r.Members.Self, RatingsSeen: c.seen}})
	r.pullNewer(s)
	r.answerInForce()
}

func (r *reducer) beatAnswered(e BeatAnswered) {
	s := e.Beat.Self
	r.Members = r.Members.WithAnswer(s, e.Sent.At, r.Now)
	c, _ := r.spread.Get(s.Name)
	c.sightings = max(c.sightings, e.Sent.At)
	c.ratings = e.Beat.RatingsSeen
	r.spread = r.spread.Set(s.Name, c)
	r.trimRatings()
	r.refreshSelf()
	r.pullNewer(s)
	r.answerInForce()
}

func (r *reducer) beatFailed(BeatFailed) {}

// pullNewer fetches the configuration of a host that has a newer one, and all it knows after a start.
func (r *reducer) pullNewer(s member.Self) {
	if s.Revision > r.Config.Revision {
		r.emit(PullConfig{From: s.Name})
	}
}

// learn takes in the lists of a heartbeat.
func (r *reducer) learn(b member.Beat, c cursor) cursor {
	for _, g := range b.Sightings {
		r.sighted(g)
	}
	if b.RatingsTo < c.seen {
		c.seen = 0
	}
	k := int(min(uint64(len(b.Ratings)), b.RatingsTo-c.seen))
	for _, t := range b.Ratings[len(b.Ratings)-k:] {
		r.learnRating(t, b.Name)
	}
	c.seen = b.RatingsTo
	for _, q := range b.Quarantined {
		if r.Routes.Evidence.Stat(q).Health != route.Quarantined {
			r.Routes.Evidence = r.Routes.Evidence.WithQuarantine(q)
			r.log("route", "quarantined a version on another host's word",
				Field{"version", q.Version}, Field{"class", q.Class}, Field{"host", b.Name})
		}
	}
	return c
}

func (r *reducer) sighted(g member.Sighting) {
	r.Routes = r.Routes.WithAnnouncement(g.Endpoint, r.Now-g.Age, r.Now)
	r.startQueued()
}

// announced takes in an endpoint's announcement and passes on at once that it came, left or changed.
func (r *reducer) announced(e Announced) {
	o, ok := r.Routes.Endpoint(e.Endpoint.ID)
	r.direct = r.direct.Set(e.Endpoint.ID, r.Now)
	r.sighted(member.Sighting{Endpoint: e.Endpoint})
	n, _ := r.Routes.Endpoint(e.Endpoint.ID)
	if ok && o.Incarnation == n.Incarnation && o.Leaving == n.Leaving && len(o.Holds) == len(n.Holds) {
		return
	}
	r.log("member", "an endpoint announced itself", Field{"endpoint", n.ID}, Field{"incarnation", n.Incarnation},
		Field{"holds", n.Holds}, Field{"leaving", n.Leaving})
	r.beatAll()
}

func (r *reducer) configPulled(e ConfigPulled) {
	for _, g := range e.Nodes {
		r.sighted(g)
	}
	r.Routes.Evidence = r.Routes.Evidence.WithEntries(e.Evidence, r.Now)
	r.adopt(e.Config)
}

// maxObservations bounds the faults and paces that a host takes in and spreads, a second. More are dropped
// whatever they say, so that the share of bad ones stays what it is.
const maxObservations = 20

func (r *reducer) sample(t route.Rating) bool {
	if t.Kind == route.Quality {
		return true
	}
	r.sampled = min(maxObservations, r.sampled+maxObservations*(r.Now-r.sampledAt).Seconds())
	r.sampledAt = r.Now
	if r.sampled < 1 {
		return false
	}
	r.sampled--
	return true
}

// lastRatings returns the last ratings of this host's own.
func (r *reducer) lastRatings(count int) []route.Rating {
	var l []route.Rating
	for i := max(0, r.ratings.Len()-count); i < r.ratings.Len(); i++ {
		l = append(l, r.ratings.Get(i))
	}
	return l
}

func (r *reducer) rated(e Rated) {
	if !r.sample(e.Rating) {
		return
	}
	r.ratingsTo++
	r.ratings = r.ratings.Append(e.Rating)
	r.learnRating(e.Rating, r.Members.Self.Name)
}

// maxRatings bounds the ratings kept for hosts that don't answer.
const maxRatings = 1000

// trimRatings forgets ratings that all hosts heard of late have confirmed.
func (r *reducer) trimRatings() {
	l := r.ratingsTo
	for _, m := range r.members() {
		if m.Name == r.Members.Self.Name || !r.Members.Fresh(m.Name, r.Now) {
			continue
		}
		c, _ := r.spread.Get(m.Name)
		l = min(l, c.ratings)
	}
	k := min(maxRatings, int(r.ratingsTo-l))
	if n := r.ratings.Len(); k < n {
		r.ratings = r.ratings.Slice(n-k, n)
	}
}

func (r *reducer) learnRating(t route.Rating, from string) {
	e, b, a := r.Routes.Evidence.WithRating(t, r.Now)
	r.Routes.Evidence = e
	if a == b {
		return
	}
	r.log("route", "a version's health changed", Field{"version", t.Version}, Field{"class", t.Class},
		Field{"health", a}, Field{"host", from})
	if a != route.Healthy {
		r.emit(Count{Metric: `hickoryshelf_versions_doubted_total{version="` + t.Version + `"}`})
		r.beatAll()
	}
}

// stopping takes the host out of service for new requests.
func (r *reducer) stopping() {
	s := r.Members.Self
	s.Stopping = true
	r.Members = r.Members.WithSelf(s)
	r.log("host", "takes no new requests, finishing those that run")
	r.refuseQueued()
	r.beatAll()
}

// forgetDirect drops endpoints that have announced nothing for long.
func (r *reducer) forgetDirect(after time.Duration) {
	for i := r.direct.Iterator(); !i.Done(); {
		k, t, _ := i.Next()
		if r.Now-t > after {
			r.direct = r.direct.Delete(k)
		}
	}
}
