package core

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// Reduce computes the next state and the effects of an event that happened at now.
func Reduce(state State, now time.Duration, event Event) (State, []Effect) {
	r := &reducer{State: state}
	r.Now = max(r.Now, now)
	r.refreshSelf()
	r.handle(event)
	r.refreshSelf()
	return r.State, r.effects
}

// reducer collects effects while a copy of the state changes.
type reducer struct {
	State
	effects []Effect
}

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
	case BeatReceived:
		r.beatReceived(e)
	case BeatAnswered:
		r.beatAnswered(e)
	case BeatFailed:
		r.beatFailed(e)
	case ConfigPulled:
		r.configPulled(e)
	case Announced:
		r.announced(e)
	case Proposed:
		r.proposed(e)
	default:
		r.handleRequest(event)
	}
}

func (r *reducer) handleRequest(event Event) {
	switch e := event.(type) {
	case Abandoned:
		r.abandoned(e)
	case Asked:
		r.asked(e.Ask)
	case Finished:
		r.finished(e)
	case Rated:
		r.rated(e)
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
	case Archived:
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

// refreshSelf brings what the host says of itself up to date.
func (r *reducer) refreshSelf() {
	s := r.Members.Self
	s.Revision = r.Config.Revision
	s.Leading = r.Quorum.Ready(r.Now)
	s.Leader = r.Leader()
	r.Members = r.Members.WithSelf(s)
	s.Recovered = s.Recovered || r.Standing() != member.Isolated
	r.Members = r.Members.WithSelf(s)
}

func (r *reducer) draw() uint64 {
	g := rand.New(rand.NewPCG(r.seed, 1))
	r.seed = g.Uint64()
	return r.seed
}

// hostOf returns the host name in a node's identity.
func hostOf(node quorum.NodeID) string {
	n, _, _ := strings.Cut(string(node), "/")
	return n
}

func (r *reducer) expireEndpoints() {
	if r.Now >= r.expired+expireEvery {
		r.expired = r.Now
		r.Routes = r.Routes.WithTimeouts(r.Now)
	}
}

func (r *reducer) tick() {
	r.stepQuorum(quorum.Tick{})
	r.sendBeats()
	r.expireEndpoints()
	r.expireQueued()
	r.startQueued()
	r.answerInForce()
	r.settleOrphans()
	r.mendVoters()
	r.archive()
	r.placeVersions()
	r.compact()
	r.forgetDirect(route.AnnouncementTTL)
}
