package model

import "fmt"

//go:generate go tool stringer -type=Priority,CutOff,VersionState,Outcome -linecomment -output=enum_string.go

// Priority orders requests that wait for the same capacity.
type Priority int

// Priorities, from the least urgent to the most.
const (
	PriorityBatch       Priority = iota // batch
	PriorityNormal                      // normal
	PriorityInteractive                 // interactive
)

// CutOff says what a data centre does for a customer while it is cut off from the control quorum.
type CutOff int

// Conduct while cut off.
const (
	CutOffServe  CutOff = iota // serve
	CutOffRefuse               // refuse
)

// VersionState is the life cycle of a declared version.
type VersionState int

// States of a version. A withdrawn version never becomes live again.
const (
	VersionLive      VersionState = iota // live
	VersionWithdrawn                     // withdrawn
)

// Outcome tells a caller what became of a request.
type Outcome int

// Outcomes of a request. OutcomeNotRun is used only where no endpoint can have started the request.
const (
	OutcomeUnknown Outcome = iota // unknown
	OutcomeNotRun                 // not-run
	OutcomeRan                    // ran
)

type enum interface {
	~int
	fmt.Stringer
}

// ParseEnum finds the value whose generated name is text among the first count values.
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

// MarshalText writes the generated name.
func (p Priority) MarshalText() ([]byte, error) { return []byte(p.String()), nil }

// UnmarshalText reads the generated name.
func (p *Priority) UnmarshalText(text []byte) (err error) {
	*p, err = ParseEnum[Priority](text, int(PriorityInteractive)+1)
	return err
}

// MarshalText writes the generated name.
func (c CutOff) MarshalText() ([]byte, error) { return []byte(c.String()), nil }

// UnmarshalText reads the generated name.
func (c *CutOff) UnmarshalText(text []byte) (err error) {
	*c, err = ParseEnum[CutOff](text, int(CutOffRefuse)+1)
	return err
}

// MarshalText writes the generated name.
func (v VersionState) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// UnmarshalText reads the generated name.
func (v *VersionState) UnmarshalText(text []byte) (err error) {
	*v, err = ParseEnum[VersionState](text, int(VersionWithdrawn)+1)
	return err
}

// MarshalText writes the generated name.
func (o Outcome) MarshalText() ([]byte, error) { return []byte(o.String()), nil }

// UnmarshalText reads the generated name.
func (o *Outcome) UnmarshalText(text []byte) (err error) {
	*o, err = ParseEnum[Outcome](text, int(OutcomeRan)+1)
	return err
}
