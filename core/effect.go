package core

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// Effect is something the runner has to do.
type Effect interface{ effect() }

// QuorumOutput has to be persisted, and then its messages sent.
type QuorumOutput struct {
	Persist  quorum.Persist
	Messages []quorum.Message
}

// SendHeartbeat sends a heartbeat; the runner answers with BeatAnswered or BeatFailed.
type SendHeartbeat struct {
	Sent      SentHeartbeat
	Heartbeat member.Heartbeat
}

// AnswerHeartbeat answers the caller of a BeatReceived.
type AnswerHeartbeat struct {
	ID        string
	Heartbeat member.Heartbeat
}

// PullConfig fetches the configuration of another host.
type PullConfig struct{ From string }

// AnswerProposal answers the caller of a Proposed.
type AnswerProposal struct {
	ID     string
	Result config.Result
}

// ProposeCommand hands a command of this host itself to the leader.
type ProposeCommand struct{ Command config.Command }

// AnswerRoute answers the caller of an Asked.
type AnswerRoute struct {
	ID       string
	Decision Decision
}

// Decision says where to run a request, or why it isn't run.
type Decision struct {
	// Refusal is nil for a request that may run.
	Refusal  *Refusal
	Contract model.Contract
	Terms    model.ClassTerms
	// Service is set for calls of a plain service.
	Service  model.Service
	Version  string
	Endpoint model.Endpoint
	// Waited is the time in the queue.
	Waited time.Duration
	// ShouldRate is true when the answer should be rated.
	ShouldRate bool
}

// Dispatch is a request at an endpoint.
type Dispatch struct {
	Customer    string
	Endpoint    string
	Incarnation uint64
	Version     string
	Class       string
	// Estimate is the number of tokens charged at the start.
	Estimate float64
	// Service is true for calls of a plain service.
	Service bool
}

// RefusalKind is why a request isn't run.
type RefusalKind int

// Kinds of refusals. In each of them nothing has reached an endpoint.
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

// Refusal is the answer to a request that isn't run.
type Refusal struct {
	Kind    RefusalKind
	Message string
	// RetryAfter is when to come back; 0 where coming back unchanged won't help.
	RetryAfter time.Duration
}

// Error returns the message, which names the remedy.
func (r *Refusal) Error() string { return r.Kind.String() + ": " + r.Message }

// CopyRecords sends a line to other hosts; the runner answers with RecordsCopied or RecordsFailed for each.
type CopyRecords struct {
	To   []string
	Line ledger.Line
}

// SyncRecords writes lines to this host's disk; the runner answers with RecordsSynced under the key.
type SyncRecords struct {
	Key   string
	Lines []ledger.Line
}

// AnswerRecord answers the caller of a RecordRequested or RecordsReceived; OK is false when no other host
// could be reached.
type AnswerRecord struct {
	ID string
	OK bool
}

// Log writes a line.
type Log struct {
	Part    string
	Message string
	Fields  []Field
}

// Field is one key and value of a log line.
type Field struct {
	Key   string
	Value any
}

// IncrementMetric raises a counter of the metrics by one.
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
