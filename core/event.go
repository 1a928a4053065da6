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

// Event is something that happened to the host.
type Event interface{ event() }

// Tick is sent at a fixed interval.
type Tick struct{}

// QuorumReceived brings messages of the control log.
type QuorumReceived struct{ Messages []quorum.Message }

// QuorumPersisted tells that entries are synced.
type QuorumPersisted struct{ Persisted quorum.Persisted }

// HeartbeatReceived brings a heartbeat; ID names the caller that waits for the answer.
type HeartbeatReceived struct {
	ID        string
	Heartbeat member.Heartbeat
}

// HeartbeatAnswered brings the answer to a heartbeat.
type HeartbeatAnswered struct {
	Sent      SentHeartbeat
	Heartbeat member.Heartbeat
}

// HeartbeatFailed tells that a heartbeat got no answer.
type HeartbeatFailed struct{ Sent SentHeartbeat }

// SentHeartbeat describes a heartbeat on its way.
type SentHeartbeat struct {
	To string
	// At is when it was sent; Ratings is the number of its last rating.
	At      time.Duration
	Ratings uint64
}

// ConfigPulled brings a configuration from another host.
type ConfigPulled struct {
	From     string
	Config   model.Config
	Evidence []route.Entry
	// Nodes are the endpoints that the other host knows.
	Nodes []member.Announcement
}

// EndpointAnnounced brings an endpoint's announcement.
type EndpointAnnounced struct{ Endpoint model.Endpoint }

// CommandProposed asks the control log to carry out a command; ID names the caller that waits.
type CommandProposed struct {
	ID      string
	Command config.Command
}

// CallerLeft tells that a caller no longer waits for a proposal, a queued request or a record.
type CallerLeft struct {
	ID       string
	Customer string
}

// RouteRequested asks where to run a request.
type RouteRequested struct{ Request RouteRequest }

// RouteRequest describes a request, or another attempt at one.
type RouteRequest struct {
	// ID names the caller that waits; it is unique for each attempt.
	ID string
	// RequestID is the request's.
	RequestID string
	// KeyHash is the hash of the caller's bearer key.
	KeyHash string
	Class   string
	// Version is the version that the request names; SessionVersion the one its session is held to.
	Version        string
	SessionVersion string
	// SessionCustomer is the customer for which the session was opened.
	SessionCustomer string
	// Path is set for calls of a plain service, and empty for completions.
	Path string
	// ExcludeEndpoints lists endpoints that this request has failed at.
	ExcludeEndpoints []string
	// ExcludeVersions lists versions whose answers to this request were judged too low.
	ExcludeVersions []string
	// Tokens is an estimate of input and output tokens.
	Tokens float64
	// Retry is true for further attempts, which go on where a new request would be refused.
	Retry bool

	// targets and resumed are set while the request waits: its versions, and whether it is a further attempt.
	targets []string
	isRetry bool
}

// AttemptFinished tells that an attempt at an endpoint has ended.
type AttemptFinished struct {
	// ID is that of the Ask.
	ID     string
	Ending Ending
	// Tokens is the true number of input and output tokens.
	Tokens float64
	// FaultyEndpoints is how many endpoints have answered the request with a fault, this one included.
	FaultyEndpoints int
}

// Ending is how an attempt ended.
type Ending int

//go:generate go tool stringer -type=Ending,RefusalKind -linecomment -output=enum_string.go

// Endings of attempts.
const (
	// EndedWell attempts gave a whole answer.
	EndedWell Ending = iota // ended-well
	// EndedRefused attempts never reached the endpoint: its address refused the connection.
	EndedRefused // ended-refused
	// EndedFailed attempts failed after they may have reached the endpoint.
	EndedFailed // ended-failed
	// EndedFaulty attempts were answered by the engine with an error of its own.
	EndedFaulty // ended-faulty
	// EndedCancelled attempts were cancelled by the caller.
	EndedCancelled // ended-cancelled
)

// RatingReceived brings the rating of an answer.
type RatingReceived struct{ Rating route.Rating }

// RecordRequested asks for copies of a line before its caller goes on.
type RecordRequested struct {
	ID   string
	Line ledger.Line
}

// RecordsReceived brings lines from another host; ID names the caller that waits until they are kept.
type RecordsReceived struct {
	ID    string
	Lines []ledger.Line
}

// RecordsCopied tells that another host keeps lines, by their RecordKey.
type RecordsCopied struct {
	Host string
	Keys []string
}

// RecordsFailed tells that another host could not be reached for lines, by their RecordKey.
type RecordsFailed struct {
	Host string
	Keys []string
}

// RecordsSynced tells that the lines kept under the keys are on this host's disk.
type RecordsSynced struct{ Keys []string }

// Stopping tells that the host takes no new requests from now on.
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
