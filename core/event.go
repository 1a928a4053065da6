package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// Event is an input to Reduce: a message, a timer tick, a call, or the end of an effect.
type Event interface{ event() }

// Tick is posted by the runner at a fixed interval and drives all periodic work.
type Tick struct{}

// QuorumReceived delivers control log messages from other voters and learners.
type QuorumReceived struct{ Messages []quorum.Message }

// QuorumPersisted reports that the Persist part of a QuorumOutput is synced to disk.
type QuorumPersisted struct{ Persisted quorum.Persisted }

// HeartbeatReceived delivers a heartbeat from another host. ID identifies the caller that AnswerHeartbeat
// answers.
type HeartbeatReceived struct {
	ID        string
	Heartbeat member.Heartbeat
}

// HeartbeatAnswered delivers another host's answer to a heartbeat of this host.
type HeartbeatAnswered struct {
	Sent      SentHeartbeat
	Heartbeat member.Heartbeat
}

// HeartbeatFailed reports that a heartbeat of this host got no answer.
type HeartbeatFailed struct{ Sent SentHeartbeat }

// SentHeartbeat identifies a heartbeat that this host has sent.
type SentHeartbeat struct {
	// To is the name of the receiving host.
	To string
	// At is when the heartbeat was sent, on this host's monotonic clock.
	At time.Duration
	// Ratings is the number of the last rating in the heartbeat.
	Ratings uint64
}

// ConfigPulled delivers the configuration, the evidence about versions and the known endpoints of another
// host in answer to PullConfig.
type ConfigPulled struct {
	From     string
	Config   model.Config
	Evidence []route.Entry
	// Nodes lists the endpoints that the other host knows, with the age of their announcements.
	Nodes []member.Announcement
}

// EndpointAnnounced delivers an announcement that an endpoint sent directly to this host.
type EndpointAnnounced struct{ Endpoint model.Endpoint }

// CommandProposed asks for a command to be appended to the control log. ID identifies the caller that
// AnswerProposal answers.
type CommandProposed struct {
	ID      string
	Command config.Command
}

// CallerLeft reports that a caller no longer waits for its answer: to a RouteRequest, a command or a record.
type CallerLeft struct {
	// ID identifies the caller, Customer is the owner of its queued request.
	ID       string
	Customer string
}

// RouteRequested asks for a version and an endpoint for a request. AnswerRoute carries the decision.
type RouteRequested struct{ Request RouteRequest }

// RouteRequest describes one attempt to be routed: the first of a request, a retry, or an escalation to
// another version.
type RouteRequest struct {
	// ID identifies the attempt and its waiting caller.
	ID string
	// RequestID identifies the request and is the same for all of its attempts.
	RequestID string
	// KeyHash is the hash of the caller's bearer key.
	KeyHash string
	// Class is the task class of a completion; the contract sets its terms.
	Class string
	// Version is the version that the request names, or the version of the failed attempt for a retry; empty
	// where the router chooses.
	Version string
	// SessionVersion is the version that the request's session is pinned to; empty without a session.
	SessionVersion string
	// SessionCustomer is the customer that opened the session.
	SessionCustomer string
	// Path is the URL path of a call to a plain service, and empty for completions.
	Path string
	// ExcludeEndpoints lists the endpoints at which earlier attempts of this request failed.
	ExcludeEndpoints []string
	// ExcludeVersions lists the versions whose answers to this request were judged too low.
	ExcludeVersions []string
	// Tokens is an estimate of the input and output tokens.
	Tokens float64
	// Retry is true for an attempt after a failed one. A retry is accepted where a new request would be
	// refused because of the host's standing, and is charged to the retry budget.
	Retry bool

	// targets holds the planned versions, or the plain service, while the request is queued.
	targets []string
	// isRetry is a copy of Retry, set when the request is queued.
	isRetry bool
}

// AttemptFinished reports that an attempt at an endpoint has ended.
type AttemptFinished struct {
	// ID is the ID of the attempt's RouteRequest.
	ID     string
	Ending Ending
	// Tokens is the actual number of input and output tokens.
	Tokens float64
	// FaultyEndpoints is the number of endpoints that have answered the request with an engine error, the
	// endpoint of this attempt included.
	FaultyEndpoints int
}

// Ending is the way in which an attempt ended.
type Ending int

//go:generate go tool stringer -type=Ending,RefusalKind -linecomment -output=enum_string.go

// Endings of attempts.
const (
	// EndedWell means that the endpoint gave a complete answer.
	EndedWell Ending = iota // ended-well
	// EndedRefused means that the endpoint's address refused the connection, so the request never reached it.
	EndedRefused // ended-refused
	// EndedFailed means that the attempt failed after the request may have reached the endpoint.
	EndedFailed // ended-failed
	// EndedFaulty means that the engine itself answered with an error.
	EndedFaulty // ended-faulty
	// EndedCancelled means that the caller cancelled the attempt.
	EndedCancelled // ended-cancelled
)

// RatingReceived delivers a rating made at this host: the quality of an answer, a fault or the time per
// output token.
type RatingReceived struct{ Rating route.Rating }

// RecordRequested asks for a ledger line to be copied to other hosts before the caller identified by ID
// continues. AnswerRecord answers the caller.
type RecordRequested struct {
	ID   string
	Line ledger.Line
}

// RecordsReceived delivers ledger lines from another host. AnswerRecord answers the caller identified by ID
// once this host has stored the lines, on disk if it has one.
type RecordsReceived struct {
	ID    string
	Lines []ledger.Line
}

// RecordsCopied reports that another host has stored lines. Keys holds their record keys.
type RecordsCopied struct {
	Host string
	Keys []string
}

// RecordsFailed reports that lines could not be sent to another host. Keys holds their record keys.
type RecordsFailed struct {
	Host string
	Keys []string
}

// RecordsSynced reports that the lines of SyncRecords effects with these keys are on this host's disk.
type RecordsSynced struct{ Keys []string }

// Stopping reports that a planned stop has begun: the host accepts no new requests from now on.
type Stopping struct{}

func (Tick) event()              {}
func (QuorumReceived) event()    {}
func (QuorumPersisted) event()   {}
func (HeartbeatReceived) event() {}
func (HeartbeatAnswered) event() {}
func (HeartbeatFailed) event()   {}
func (ConfigPulled) event()      {}
func (EndpointAnnounced) event() {}
func (CommandProposed) event()   {}
func (CallerLeft) event()        {}
func (RouteRequested) event()    {}
func (AttemptFinished) event()   {}
func (RatingReceived) event()    {}
func (RecordRequested) event()   {}
func (RecordsReceived) event()   {}
func (RecordsCopied) event()     {}
func (RecordsFailed) event()     {}
func (RecordsSynced) event()     {}
func (Stopping) event()          {}
