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

// BeatReceived brings a heartbeat; ID names the caller that waits for the answer.
type BeatReceived struct {
	ID   string
	Beat member.Beat
}

// BeatAnswered brings the answer to a heartbeat.
type BeatAnswered struct {
	Sent BeatSent
	Beat member.Beat
}

// BeatFailed tells that a heartbeat got no answer.
type BeatFailed struct{ Sent BeatSent }

// BeatSent describes a heartbeat on its way.
type BeatSent struct {
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
	Nodes []member.Sighting
}

// Announced brings an endpoint's announcement.
type Announced struct{ Endpoint model.Endpoint }

// Proposed asks the control log to carry out a command; ID names the caller that waits.
type Proposed struct {
	ID      string
	Command config.Command
}

// Abandoned tells that a caller no longer waits for a proposal, a queued request or a record.
type Abandoned struct {
	ID       string
	Customer string
}

// Asked asks where to run a request.
type Asked struct{ Ask Ask }

// Ask describes a request, or another attempt at one.
type Ask struct {
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
	// Exclude lists endpoints that this request has failed at.
	Exclude []string
	// Avoid lists versions whose answers to this request were judged too low.
	Avoid []string
	// Tokens is an estimate of input and output tokens.
	Tokens float64
	// Again is true for further attempts, which go on where a new request would be refused.
	Again bool

	// planned and resumed are set while the request waits: its versions, and whether it is a further attempt.
	planned []string
	resumed bool
}

// Finished tells that an attempt at an endpoint has ended.
type Finished struct {
	// ID is that of the Ask.
	ID     string
	Ending Ending
	// Tokens is the true number of input and output tokens.
	Tokens float64
	// Faulty is how many endpoints have answered the request with a fault, this one included.
	Faulty int
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

// Rated brings the rating of an answer.
type Rated struct{ Rating route.Rating }

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

func (Tick) event()            {}
func (QuorumReceived) event()  {}
func (QuorumPersisted) event() {}
func (BeatReceived) event()    {}
func (BeatAnswered) event()    {}
func (BeatFailed) event()      {}
func (ConfigPulled) event()    {}
func (Announced) event()       {}
func (Proposed) event()        {}
func (Abandoned) event()       {}
func (Asked) event()           {}
func (Finished) event()        {}
func (Rated) event()           {}
func (RecordRequested) event() {}
func (RecordsReceived) event() {}
func (RecordsCopied) event()   {}
func (RecordsFailed) event()   {}
func (RecordsSynced) event()   {}
func (Stopping) event()        {}
