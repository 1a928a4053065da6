// Package ledger keeps one billing record, called a line, for each request that was sent to an endpoint. Lines form a
// join-semilattice under Merge: hosts can exchange copies in any order and any number of times, and still agree on one
// line for each request.
package ledger

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

//go:generate go tool stringer -type=Stage -linecomment -output=enum_string.go

// Stage is the progress of a line. When copies are merged, the higher stage wins.
type Stage int

// Values of Stage, in order. A line is begun before its request is sent to an endpoint, and settled when its host has
// recorded the outcome. An orphaned line belongs to a request whose host departed before it settled the line.
const (
	StageBegun    Stage = iota // begun
	StageOrphaned              // orphaned
	StageSettled               // settled
)

// MarshalText returns the text of the stage, for example "settled".
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the text of a stage. It returns an error if the text is unknown.
func (s *Stage) UnmarshalText(text []byte) (err error) {
	*s, err = model.ParseEnum[Stage](text, int(StageSettled)+1)
	return err
}

// Line is the billing record of one request.
type Line struct {
	// RequestID is globally unique, also across restarts. It begins with the name of the host that generated it.
	RequestID string `json:"request-id"`
	Stage     Stage  `json:"stage"`
	Customer  string `json:"customer"`
	Host      string `json:"host"`
	// Incarnation is the incarnation of the host that generated the id.
	Incarnation uint64        `json:"incarnation"`
	Version     string        `json:"version"`
	Endpoint    string        `json:"endpoint"`
	Outcome     model.Outcome `json:"outcome"`
	Usage       model.Usage   `json:"usage"`
	// Micros is the amount to bill, in millionths of the billing currency.
	Micros int64 `json:"micros"`
	// At is the wall-clock time at which the line reached its stage.
	At time.Time `json:"at"`
}

// Merge returns the copy of a line that takes precedence: the one with the higher stage, then the one with the earlier
// time, then the one with the greater outcome. It is commutative, associative and idempotent.
func (l Line) Merge(other Line) Line {
	if other.supersedes(l) {
		return other
	}
	return l
}

// supersedes reports whether this copy takes precedence over the other one.
func (l Line) supersedes(other Line) bool {
	if l.Stage != other.Stage {
		return l.Stage > other.Stage
	}
	if !l.At.Equal(other.At) {
		return l.At.Before(other.At)
	}
	return l.Outcome > other.Outcome
}

// Billable reports whether the line is listed on the bill: it isn't open any more, and its request ran or may have
// run.
func (l Line) Billable() bool { return l.Stage != StageBegun && l.Outcome != model.OutcomeNotRun }
