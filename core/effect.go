package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// Effect is an action that Reduce asks the runner to carry out.
type Effect interface{ effect() }

// QuorumOutput asks the runner to sync Persist to disk and then to send Messages. The runner reports
// QuorumPersisted.
type QuorumOutput struct {
	Persist  quorum.Persist
	Messages []quorum.Message
}

// SendHeartbeat sends a heartbeat to another host. The runner reports HeartbeatAnswered or HeartbeatFailed.
type SendHeartbeat struct {
	Sent      SentHeartbeat
	Heartbeat member.Heartbeat
}

// AnswerHeartbeat answers the caller of a HeartbeatReceived.
type AnswerHeartbeat struct {
	ID        string
	Heartbeat member.Heartbeat
}

// PullConfig fetches the configuration, evidence and endpoints of another host. The runner reports
// ConfigPulled if the call succeeds.
type PullConfig struct{ From string }

// AnswerProposal answers the caller of a CommandProposed.
type AnswerProposal struct {
	ID     string
	Result config.Result
}

// ProposeCommand sends a command that originates at this host to the leader.
type ProposeCommand struct{ Command config.Command }

// AnswerRoute answers the caller of a RouteRequested.
type AnswerRoute struct {
	ID       string
	Decision Decision
}

// Decision holds the version and endpoint for a request, or the reason for refusing it.
type Decision struct {
	// Refusal is nil for a request that may run.
	Refusal  *Refusal
	Contract model.Contract
	Terms    model.ClassTerms
	// Service is set for calls to a plain service.
	Service model.Service
	// Version is empty for calls to a plain service.
	Version  string
	Endpoint model.Endpoint
	// Waited is the time that the request spent in the queue.
	Waited time.Duration
	// ShouldRate is true when the version was chosen for exploration, so that its answer should be rated.
	ShouldRate bool
}

// Dispatch is an attempt in flight at an endpoint.
type Dispatch struct {
	Customer    string
	Endpoint    string
	Incarnation uint64
	// Version is the name of the version or of the plain service.
	Version string
	Class   string
	// Estimate is the number of tokens charged to the customer when the attempt started.
	Estimate float64
	// Service is true for calls to a plain service.
	Service bool
}

// RefusalKind is the reason for refusing a request.
type RefusalKind int

// Kinds of refusals. A refused attempt was not sent to any endpoint.
const (
	RefusedKey       RefusalKind = iota // unknown-key
	RefusedClass                        // unknown-class
	RefusedVersion                      // version-not-allowed
	RefusedWithdrawn                    // version-withdrawn
	RefusedSession                      // session-of-another-customer
	RefusedPath                         // unknown-path
	RefusedIsolated                     // host-isolated
	RefusedCutOff                       // data-centre-cut-off
	RefusedStopping                     // host-stopping
	RefusedQuality                      // no-version-at-quality
	RefusedCapacity                     // no-capacity
	RefusedQueue                        // queue-full
)

// Refusal is the error for a request that isn't run.
type Refusal struct {
	Kind RefusalKind
	// Message says what is wrong and what the caller can do.
	Message string
	// RetryAfter is how long the caller should wait before a retry; 0 when retrying the same request won't help.
	RetryAfter time.Duration
}

// Error returns the kind and the message.
func (r *Refusal) Error() string { return r.Kind.String() + ": " + r.Message }

// CopyRecords sends a ledger line to other hosts. The runner reports RecordsCopied or RecordsFailed for each.
type CopyRecords struct {
	To   []string
	Line ledger.Line
}

// SyncRecords writes ledger lines to this host's disk. The runner reports RecordsSynced with Key.
type SyncRecords struct {
	Key   string
	Lines []ledger.Line
}

// AnswerRecord answers the caller of a RecordRequested or RecordsReceived. OK is false when no other host could
// store the line.
type AnswerRecord struct {
	ID string
	OK bool
}

// Log writes a log line with the text "Part: Message" and the fields.
type Log struct {
	Part    string
	Message string
	Fields  []Field
}

// Field is a key and its value in a log line.
type Field struct {
	Key   string
	Value any
}

// IncrementMetric adds one to a counter. Metric is the counter's name with its labels.
type IncrementMetric struct{ Metric string }

func (QuorumOutput) effect()    {}
func (SendHeartbeat) effect()   {}
func (AnswerHeartbeat) effect() {}
func (PullConfig) effect()      {}
func (AnswerProposal) effect()  {}
func (ProposeCommand) effect()  {}
func (AnswerRoute) effect()     {}
func (CopyRecords) effect()     {}
func (SyncRecords) effect()     {}
func (AnswerRecord) effect()    {}
func (Log) effect()             {}
func (IncrementMetric) effect() {}
