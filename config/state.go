package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// ClaimRetention is how long a settled claim is kept to answer resends of its request.
const ClaimRetention = 24 * time.Hour

// resultRetention is the number of changes whose results are kept to answer resends.
const resultRetention = 20_000

// storedResult is a change ID and the result of the change in a snapshot.
type storedResult struct {
	ID     string
	Result Result
}

// State is the replicated state. It is immutable; Apply returns a changed copy.
type State struct {
	Config model.Config
	// results holds, by change ID, the result of the first time that the change was applied.
	results *immutable.Map[string, Result]
	// resultOrder lists the change IDs of results, oldest first.
	resultOrder *immutable.List[string]
	// claims holds the claims by claimKey.
	claims *immutable.SortedMap[string, Claim]
	// expiry lists the keys in claims of settled and released claims, in the order in which they ended.
	expiry *immutable.List[string]
}

// NewState returns the empty state.
func NewState() State {
	return State{
		results:     immutable.NewMap[string, Result](nil),
		resultOrder: immutable.NewList[string](),
		claims:      immutable.NewSortedMap[string, Claim](nil),
		expiry:      immutable.NewList[string](),
	}
}

// claimKey returns the key of a claim in State.claims for a customer's idempotency key.
func claimKey(customer, key string) string { return customer + "\x00" + key }

// Claim returns the claim on a customer's idempotency key, and whether there is one.
func (s State) Claim(customer, key string) (Claim, bool) {
	return s.claims.Get(claimKey(customer, key))
}

// ClaimCount returns the number of claims.
func (s State) ClaimCount() int { return s.claims.Len() }

// ChangeResult returns the result of the first time that a change was applied, and whether it is kept.
func (s State) ChangeResult(change string) (Result, bool) { return s.results.Get(change) }

// OpenClaims returns the claims in state ClaimBegun.
func (s State) OpenClaims() []Claim {
	var r []Claim
	for i := s.claims.Iterator(); !i.Done(); {
		if _, c, _ := i.Next(); c.State == ClaimBegun {
			r = append(r, c)
		}
	}
	return r
}

// Apply returns the state after a command and the result of the command. It depends only on its arguments, so that all
// voters reach the same state. A command without content has no effect.
func Apply(state State, command Command) (State, Result) {
	state = state.expire(command.At)
	switch {
	case command.Change != nil:
		return state.change(*command.Change)
	case command.Begin != nil:
		return state.begin(*command.Begin, command.At)
	case command.End != nil:
		return state.end(*command.End, command.At)
	}
	return state, Result{Verdict: VerdictCommitted, Revision: state.Config.Revision}
}

// expire removes the claims that ended at least ClaimRetention before at, oldest first. A claim that was released and
// granted again is open: it stays, and is listed again when it ends.
func (s State) expire(at time.Time) State {
	for s.expiry.Len() > 0 {
		k := s.expiry.Get(0)
		c, ok := s.claims.Get(k)
		o := ok && c.State == ClaimBegun
		if ok && !o && at.Sub(c.At) < ClaimRetention {
			return s
		}
		if !o {
			s.claims = s.claims.Delete(k)
		}
		s.expiry = s.expiry.Slice(1, s.expiry.Len())
	}
	return s
}

// change applies a change, or returns the kept result if the change was applied before.
func (s State) change(c Change) (State, Result) {
	if r, ok := s.results.Get(c.ID); ok {
		return s, r
	}
	n, r := s.commitChange(c)
	n.results = n.results.Set(c.ID, r)
	n.resultOrder = n.resultOrder.Append(c.ID)
	if n.resultOrder.Len() > resultRetention {
		n.results = n.results.Delete(n.resultOrder.Get(0))
		n.resultOrder = n.resultOrder.Slice(1, n.resultOrder.Len())
	}
	return n, r
}

// commitChange applies a change to the configuration if the expected revision is in force and the change is valid. A
// committed change increments the revision by one.
func (s State) commitChange(c Change) (State, Result) {
	v := s.Config.Revision
	if c.Expect != 0 && c.Expect != v {
		m := fmt.Sprintf("the revision is %d, not %d; read it again and resend under a new change id", v, c.Expect)
		return s, Result{Verdict: VerdictConflict, Revision: v, Message: m}
	}
	n, err := applyChange(s.Config, c)
	if err != nil {
		return s, Result{Verdict: VerdictRejected, Revision: v, Message: err.Error()}
	}
	s.Config = n.WithRevision(v + 1)
	return s, Result{Verdict: VerdictCommitted, Revision: v + 1}
}

// begin grants a claim that is new or released. A repeated begin by the holder is granted again, so that the holder can
// resend it after a lost answer. A begin with another fingerprint is rejected.
func (s State) begin(b BeginClaim, at time.Time) (State, Result) {
	k := claimKey(b.Customer, b.Key)
	c, ok := s.claims.Get(k)
	r := Result{Verdict: VerdictCommitted, Revision: s.Config.Revision}
	if ok && c.Begin.Fingerprint != b.Fingerprint {
		r.Verdict = VerdictRejected
		r.Message = "the idempotency key belongs to another request; use a new key for each request"
		return s, r
	}
	if ok && c.State != ClaimReleased {
		r.Claim, r.Granted = c, c.State == ClaimBegun && c.Begin == b
		return s, r
	}
	r.Claim, r.Granted = Claim{State: ClaimBegun, Begin: b, At: at}, true
	s.claims = s.claims.Set(k, r.Claim)
	return s, r
}

// end settles a claim, or releases it if the request was not run. Only the request that holds the claim can end it. A
// claim settled as unknown can still change to the outcome that the request ran, but no other settled outcome changes.
func (s State) end(e EndClaim, at time.Time) (State, Result) {
	k := claimKey(e.Customer, e.Key)
	c, ok := s.claims.Get(k)
	r := Result{Verdict: VerdictCommitted, Revision: s.Config.Revision, Claim: c}
	if !ok || c.Begin.RequestID != e.RequestID {
		return s, r
	}
	f := c.State == ClaimSettled
	if c.State == ClaimReleased || (f && (c.End.Outcome != model.OutcomeUnknown || e.Outcome != model.OutcomeRan)) {
		return s, r
	}
	c.State, c.End, c.At = ClaimSettled, e, at
	if e.Outcome == model.OutcomeNotRun {
		c.State = ClaimReleased
	}
	s.claims = s.claims.Set(k, c)
	if !f {
		s.expiry = s.expiry.Append(k)
	}
	r.Claim = c
	return s, r
}

// snapshot is the encoded form of a State.
type snapshot struct {
	Config   model.Config
	Outcomes []storedResult
	Claims   []Claim
	Expiry   []string
}

// Encode returns the state as a JSON snapshot.
func (s State) Encode() ([]byte, error) {
	d := snapshot{Config: s.Config}
	for i := s.resultOrder.Iterator(); !i.Done(); {
		_, k := i.Next()
		r, _ := s.results.Get(k)
		d.Outcomes = append(d.Outcomes, storedResult{ID: k, Result: r})
	}
	for i := s.claims.Iterator(); !i.Done(); {
		_, c, _ := i.Next()
		d.Claims = append(d.Claims, c)
	}
	for i := s.expiry.Iterator(); !i.Done(); {
		_, k := i.Next()
		d.Expiry = append(d.Expiry, k)
	}
	return json.Marshal(d)
}

// Decode returns the state of a JSON snapshot made by Encode. Empty content gives the empty state.
func Decode(content []byte) (State, error) {
	s := NewState()
	if len(content) == 0 {
		return s, nil
	}
	var d snapshot
	if err := json.Unmarshal(content, &d); err != nil {
		return s, fmt.Errorf("decode control snapshot: %w; run the build that wrote the snapshot", err)
	}
	s.Config = d.Config
	for _, o := range d.Outcomes {
		s.results = s.results.Set(o.ID, o.Result)
		s.resultOrder = s.resultOrder.Append(o.ID)
	}
	for _, c := range d.Claims {
		s.claims = s.claims.Set(claimKey(c.Begin.Customer, c.Begin.Key), c)
	}
	s.expiry = immutable.NewList(d.Expiry...)
	return s, nil
}
