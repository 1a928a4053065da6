// Package config implements the replicated state machine of the control log. Its state holds the contracts, versions
// and members, the results of operators' changes, and the claims on requests that run at most once.
package config

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

//go:generate go tool stringer -type=Operation,Verdict,ClaimState -linecomment -output=enum_string.go

// Operation is the kind of an operator's change.
type Operation int

// Operations of changes.
const (
	ApplyContract   Operation = iota // apply-contract
	RemoveContract                   // remove-contract
	DeclareVersion                   // declare-version
	WithdrawVersion                  // withdraw-version
	AddMember                        // add-member
	RemoveMember                     // remove-member
)

// Change is an operator's change of the configuration. Of Name, Contract, Version and Member, Operation determines
// the one that is used.
type Change struct {
	// ID is chosen by the operator's client and stays the same when the client resends the change.
	ID string
	// Expect is the revision that must be in force for the change to apply; 0 means any revision.
	Expect    model.Revision
	Operation Operation
	// Name is the name of the object to remove or withdraw.
	Name     string
	Contract *model.Contract
	Version  *model.Version
	Member   *model.Member
}

// BeginClaim claims the right to run the request of a customer's idempotency key.
type BeginClaim struct {
	Customer string
	// Key is the customer's idempotency key.
	Key string
	// Fingerprint identifies the content of the request, so that a key reused for another request is detected.
	Fingerprint string
	RequestID   string
	// Host and Incarnation identify the process that runs the request.
	Host        string
	Incarnation uint64
}

// EndClaim settles or releases a claim with the outcome of its request.
type EndClaim struct {
	Customer  string
	Key       string
	RequestID string
	Outcome   model.Outcome
	// Status, ContentType and Body are the answer stored for resends. Body is empty if it was too long to store.
	Status      int
	ContentType string
	Body        []byte
}

// Command is the content of a control log entry. Exactly one of its pointers is set.
type Command struct {
	Change *Change
	Begin  *BeginClaim
	End    *EndClaim
	// At is the leader's wall clock time when it appended the command.
	At time.Time
}

// Verdict says whether a command took effect.
type Verdict int

// Verdicts on commands.
const (
	// VerdictUnknown means that the command may or may not take effect later.
	VerdictUnknown Verdict = iota // unknown
	// VerdictCommitted means that the command is committed and applied.
	VerdictCommitted // committed
	// VerdictConflict means that the revision differs from the change's Expect; the change has no effect.
	VerdictConflict // conflict
	// VerdictRejected means that the command is invalid and has no effect.
	VerdictRejected // rejected
	// VerdictNotLeader means that the host isn't the leader; the command has no effect.
	VerdictNotLeader // not-leader
)

// Result is the answer to a command.
type Result struct {
	Verdict Verdict
	// Revision is the revision of the configuration after the command.
	Revision model.Revision
	// Message says what is wrong and what to do when the verdict isn't VerdictCommitted.
	Message string
	// Claim is the claim after a BeginClaim or EndClaim.
	Claim Claim
	// Granted is true when the BeginClaim holds the claim, so that its request may run.
	Granted bool
	// Leader is the name of the leader if the verdict is VerdictNotLeader and the leader is known.
	Leader string
	// Pending lists the data centres in which a committed revision isn't known to be in force yet.
	Pending []string
}

// ClaimState is the state of a claim.
type ClaimState int

// States of a claim.
const (
	// ClaimBegun means that the request of the claim may be running.
	ClaimBegun ClaimState = iota // begun
	// ClaimReleased means that the request was not run; the next BeginClaim gets the claim.
	ClaimReleased // released
	// ClaimSettled means that the outcome of the request is recorded, possibly as unknown.
	ClaimSettled // settled
)

// Claim records which process may run the request of an idempotency key, and the outcome of the request.
type Claim struct {
	State ClaimState
	Begin BeginClaim
	// End holds the outcome when State is ClaimSettled.
	End EndClaim
	// At is the leader's wall clock time of the last change of the claim.
	At time.Time
}
