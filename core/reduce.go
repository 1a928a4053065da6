package core

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// Reduce returns the state after an event and the effects to carry out, in order. now is the time of the event on the
// host's monotonic clock; a time before state.Now counts as state.Now.
func Reduce(state State, now time.Duration, event Event) (State, []Effect) {
	r := &reducer{State: state}
	r.Now = max(r.Now, now)
	r.refreshSelf()
	r.handle(event)
	r.refreshSelf()
	return r.State, r.effects
}

// reducer holds a copy of the state and the effects while one event is handled.
type reducer struct {
	State
	effects []Effect
}

// handle calls the method for the event. Events of the control log, heartbeats and announcements are handled here, all
// others in handleRequest.
func (r *reducer) handle(event Event) {
	switch e := event.(type) {
	case Tick:
		r.tick()
	case QuorumReceived:
		for _, m := range e.Messages {
			r.stepQuorum(quorum.Receive{Message: m})
		}
	case QuorumPersisted:
		r.stepQuorum(e.Persisted)
	case HeartbeatReceived:
		r.heartbeatReceived(e)
	case HeartbeatAnswered:
		r.heartbeatAnswered(e)
	case HeartbeatFailed:
		r.heartbeatFailed(e)
	case ConfigPulled:
		r.configPulled(e)
	case EndpointAnnounced:
		r.endpointAnnounced(e)
	case CommandProposed:
		r.commandProposed(e)
	default:
		r.handleRequest(event)
	}
}

// handleRequest handles the events of requests, ratings, ledger lines and orders, and the planned stop.
func (r *reducer) handleRequest(event Event) {
	switch e := event.(type) {
	case CallerLeft:
		r.callerLeft(e)
	case RouteRequested:
		r.routeRequested(e.Request)
	case AttemptFinished:
		r.attemptFinished(e)
	case RatingReceived:
		r.ratingReceived(e)
	case RecordRequested:
		r.recordRequested(e)
	case RecordsReceived:
		r.recordsReceived(e)
	case RecordsCopied:
		r.recordsCopied(e)
	case RecordsFailed:
		r.recordsFailed(e)
	case RecordsSynced:
		r.recordsSynced(e)
	case RecordsArchived:
		r.Ledger = r.Ledger.Without(e.RequestIDs)
	case OrderEnded:
		r.orderEnded(e)
	case Stopping:
		r.stopping()
	}
}

func (r *reducer) emit(e Effect) { r.effects = append(r.effects, e) }

func (r *reducer) log(part, message string, fields ...Field) {
	r.emit(Log{Part: part, Message: message, Fields: fields})
}

// refreshSelf updates the host's description of itself from the rest of the state. Recovered
// is set last, since it depends on Standing, which reads the other fields.
func (r *reducer) refreshSelf() {
	s := r.Members.Self
	s.Revision = r.Config.Revision
	s.Leading = r.Quorum.Ready(r.Now)
	s.Leader = r.Leader()
	r.Members = r.Members.WithSelf(s)
	s.Recovered = s.Recovered || r.Standing() != member.Isolated
	r.Members = r.Members.WithSelf(s)
}

// random returns the next number of the generator whose state is the seed.
func (r *reducer) random() uint64 {
	g := rand.New(rand.NewPCG(r.seed, 1))
	r.seed = g.Uint64()
	return r.seed
}

// hostOf returns the host name in a node ID, which is the part before the slash.
func hostOf(node quorum.NodeID) string {
	n, _, _ := strings.Cut(string(node), "/")
	return n
}

// expireEndpoints updates which endpoints are usable and drops those that have been silent for long, at most once per
// expireInterval.
func (r *reducer) expireEndpoints() {
	if r.Now >= r.expiredAt+expireInterval {
		r.expiredAt = r.Now
		r.Routes = r.Routes.WithTimeouts(r.Now)
	}
}

// tick does the periodic work.
func (r *reducer) tick() {
	r.stepQuorum(quorum.Tick{})
	r.sendDueHeartbeats()
	r.expireEndpoints()
	r.expireQueued()
	r.startQueued()
	r.answerPendingChanges()
	r.settleOrphans()
	r.reconcileVoters()
	r.archiveSettled()
	r.placeVersions()
	r.compact()
	r.expireAnnouncements(route.AnnouncementTTL)
}
