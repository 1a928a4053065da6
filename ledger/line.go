// Package ledger keeps one line for each request that was sent to an endpoint. Lines merge like a
// join-semilattice, so that hosts may hold and exchange copies in any order and still list each request once.
package ledger

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

//go:generate go tool stringer -type=Stage -linecomment -output=enum_string.go

// Stage is how far a line has come; a later stage wins over an earlier one.
type Stage int

// Stages of a line.
const (
	StageBegun    Stage = iota // begun
	StageOrphaned              // orphaned
	StageSettled               // settled
)

// MarshalText writes the generated name.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads the generated name.
func (s *Stage) UnmarshalText(text []byte) (err error) {
	*s, err = model.ParseEnum[Stage](text, int(StageSettled)+1)
	return err
}

// Line is the record of one request.
type Line struct {
	// RequestID is unique for all time and begins with the name of the host that minted it.
	RequestID string `json:"request-id"`
	Stage     Stage  `json:"stage"`
	Customer  string `json:"customer"`
	Host      string `json:"host"`
	// Incarnation is that of the host when it minted the id.
	Incarnation uint64        `json:"incarnation"`
	Version     string        `json:"version"`
	Endpoint    string        `json:"endpoint"`
	Outcome     model.Outcome `json:"outcome"`
	Usage       model.Usage   `json:"usage"`
	// Micros is the amount in millionths of the billing currency.
	Micros int64 `json:"micros"`
	// At is the wall clock of the stage.
	At time.Time `json:"at"`
}

// Merge returns the later of two copies of a line. It is commutative, associative and idempotent.
func (l Line) Merge(other Line) Line {
	if other.supersedes(l) {
		return other
	}
	return l
}

func (l Line) supersedes(other Line) bool {
	if l.Stage != other.Stage {
		return l.Stage > other.Stage
	}
	if !l.At.Equal(other.At) {
		return l.At.Before(other.At)
	}
	return l.Outcome > other.Outcome
}

// Billable reports whether the line belongs on the bill: the request ran, or may have run.
func (l Line) Billable() bool { return l.Stage != StageBegun && l.Outcome != model.OutcomeNotRun }
