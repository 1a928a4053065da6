package model

import "fmt"

//go:generate go tool stringer -type=Priority,CutOff,VersionState,Outcome -linecomment -output=enum_string.go

// Priority is the priority of a request among requests that wait for the same capacity.
type Priority int

// Priorities, from the least urgent to the most.
const (
	PriorityBatch       Priority = iota // batch
	PriorityNormal                      // normal
	PriorityInteractive                 // interactive
)

// CutOff is how a data centre treats a customer's requests while it is cut off from the control quorum.
type CutOff int

// Treatments of requests while a data centre is cut off.
const (
	CutOffServe  CutOff = iota // serve
	CutOffRefuse               // refuse
)

// VersionState is the state in the life cycle of a declared version.
type VersionState int

// States of a version. A withdrawn version never becomes live again.
const (
	VersionLive      VersionState = iota // live
	VersionWithdrawn                     // withdrawn
)

// Outcome states whether a request was run, as callers are told.
type Outcome int

// Outcomes of a request. OutcomeNotRun is used only if no endpoint can have started the request.
const (
	OutcomeUnknown Outcome = iota // unknown
	OutcomeNotRun                 // not-run
	OutcomeRan                    // ran
)

// enum is implemented by integer types with a generated String method.
type enum interface {
	~int
	fmt.Stringer
}

// ParseEnum returns the value among the first count values of E whose generated name is text. It returns an
// error that lists the valid names if there is none.
func ParseEnum[E enum](text []byte, count int) (E, error) {
	for i := range count {
		if E(i).String() == string(text) {
			return E(i), nil
		}
	}
	var n []string
	for i := range count {
		n = append(n, E(i).String())
	}
	return 0, fmt.Errorf("%q is not one of %q", text, n)
}

// MarshalText returns the generated name.
func (p Priority) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText parses the generated name.
func (p *Priority) UnmarshalText(text []byte) (err error) {
	*p, err = ParseEnum[Priority](text, int(PriorityInteractive)+1)
	return err
}

// MarshalText returns the generated name.
func (c CutOff) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText parses the generated name.
func (c *CutOff) UnmarshalText(text []byte) (err error) {
	*c, err = ParseEnum[CutOff](text, int(CutOffRefuse)+1)
	return err
}

// MarshalText returns the generated name.
func (v VersionState) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText parses the generated name.
func (v *VersionState) UnmarshalText(text []byte) (err error) {
	*v, err = ParseEnum[VersionState](text, int(VersionWithdrawn)+1)
	return err
}

// MarshalText returns the generated name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText parses the generated name.
func (o *Outcome) UnmarshalText(text []byte) (err error) {
	*o, err = ParseEnum[Outcome](text, int(OutcomeRan)+1)
	return err
}
