// Package config is the replicated state machine behind the control log: contracts, versions, members,
// the outcomes of changes and the claims on requests that run at most once.
package config

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

//go:generate go tool stringer -type=Operation,Verdict,ClaimState -linecomment -output=enum_string.go

// Operation is what a change does.
type Operation int

// Operations.
const (
	ApplyContract   Operation = iota // apply-contract
	RemoveContract                   // remove-contract
	DeclareVersion                   // declare-version
	WithdrawVersion                  // withdraw-version
	AddMember                        // add-member
	RemoveMember                     // remove-member
)

// Change is one operator's change.
type Change struct {
	// ID is chosen by the operator's client and is the same on each resend.
	ID string
	// Expect is the revision the operator has seen; 0 means any.
	Expect    model.Revision
	Operation Operation
	// Name is the object's name for removals and withdrawals.
	Name     string
	Contract *model.Contract
	Version  *model.Version
	Member   *model.Member
}

// BeginClaim claims the right to run a request once.
type BeginClaim struct {
	Customer string
	Key      string
	// Fingerprint tells whether a resend carries the same request.
	Fingerprint string
	RequestID   string
	Host        string
	Incarnation uint64
}

// EndClaim settles a claim.
type EndClaim struct {
	Customer  string
	Key       string
	RequestID string
	Outcome   model.Outcome
	// Status, ContentType and Body are the stored answer; Body is empty where it was too long to store.
	Status      int
	ContentType string
	Body        []byte
}

// Command is one entry of the control log. Exactly one of its pointers is set.
type Command struct {
	Change *Change
	Begin  *BeginClaim
	End    *EndClaim
	// At is the leader's wall clock when it appended the command.
	At time.Time
}

// Verdict is what became of a command.
type Verdict int

// Verdicts.
const (
	// VerdictUnknown means that the command may or may not take effect later.
	VerdictUnknown   Verdict = iota // unknown
	VerdictCommitted                // committed
	VerdictConflict                 // conflict
	VerdictRejected                 // rejected
	VerdictNotLeader                // not-leader
)

// Result answers a command.
type Result struct {
	Verdict  Verdict
	Revision model.Revision
	// Message names the remedy where the verdict isn't committed.
	Message string
	// Claim is the claim after a Begin or End.
	Claim Claim
	// Granted is true when the Begin won the claim.
	Granted bool
	// Leader is the name of the host to ask instead, where known.
	Leader string
	// Pending names the data centres where a committed revision isn't in force yet.
	Pending []string
}

// ClaimState is the progress of a claim.
type ClaimState int

// States of a claim.
const (
	ClaimBegun    ClaimState = iota // begun
	ClaimReleased                   // released
	ClaimSettled                    // settled
)

// Claim records who may run a request, and how it ended.
type Claim struct {
	State ClaimState
	Begin BeginClaim
	// End is meaningful once State is ClaimSettled.
	End EndClaim
	// At is when the claim last changed, by the leader's wall clock.
	At time.Time
}
