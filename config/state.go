package config

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/benbjohnson/immutable"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// ClaimRetention is how long a settled claim answers resends.
const ClaimRetention = 24 * time.Hour

// outcomeRetention is how many changes' outcomes are kept for resends.
const outcomeRetention = 20_000

// storedOutcome is the first outcome of a change.
type storedOutcome struct {
	ID     string
	Result Result
}

// State is the replicated state. It is a value; Apply returns a changed copy.
type State struct {
	Config model.Config
	// outcomes holds the first result of each change by its id; order lists the ids, oldest first.
	outcomes     *immutable.Map[string, Result]
	outcomeOrder *immutable.List[string]
	claims       *immutable.SortedMap[string, Claim]
	// expiry lists settled claims' keys, oldest first.
	expiry *immutable.List[string]
}

// NewState returns the empty state.
func NewState() State {
	return State{
		outcomes:     immutable.NewMap[string, Result](nil),
		outcomeOrder: immutable.NewList[string](),
		claims:       immutable.NewSortedMap[string, Claim](nil),
		expiry:       immutable.NewList[string](),
	}
}

func claimKey(customer, key string) string { return customer + "\x00" + key }

// Claim returns the claim on a customer's key.
func (s State) Claim(customer, key string) (Claim, bool) {
	return s.claims.Get(claimKey(customer, key))
}

// ClaimCount returns how many claims are held.
func (s State) ClaimCount() int { return s.claims.Len() }

// Outcome returns the first result of a change.
func (s State) Outcome(change string) (Result, bool) { return s.outcomes.Get(change) }

// OpenClaims returns the claims that nobody has settled.
func (s State) OpenClaims() []Claim {
	var r []Claim
	for i := s.claims.Iterator(); !i.Done(); {
		if _, c, _ := i.Next(); c.State == ClaimBegun {
			r = append(r, c)
		}
	}
	return r
}

// Apply carries out a command. It depends on nothing but its arguments, so that all voters agree.
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

func (s State) expire(at time.Time) State {
	for s.expiry.Len() > 0 {
		k := s.expiry.Get(0)
		c, ok := s.claims.Get(k)
		if ok && at.Sub(c.At) < ClaimRetention {
			return s
		}
		s.claims = s.claims.Delete(k)
		s.expiry = s.expiry.Slice(1, s.expiry.Len())
	}
	return s
}

func (s State) change(c Change) (State, Result) {
	if r, ok := s.outcomes.Get(c.ID); ok {
		return s, r
	}
	n, r := s.commitChange(c)
	n.outcomes = n.outcomes.Set(c.ID, r)
	n.outcomeOrder = n.outcomeOrder.Append(c.ID)
	if n.outcomeOrder.Len() > outcomeRetention {
		n.outcomes = n.outcomes.Delete(n.outcomeOrder.Get(0))
		n.outcomeOrder = n.outcomeOrder.Slice(1, n.outcomeOrder.Len())
	}
	return n, r
}

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

// end settles a claim. A claim settled as unknown still takes the outcome of the attempt that ran.
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

// snapshot is the form of a state in a snapshot.
type snapshot struct {
	Config   model.Config
	Outcomes []storedOutcome
	Claims   []Claim
	Expiry   []string
}

// Encode returns the state as a snapshot.
func (s State) Encode() ([]byte, error) {
	d := snapshot{Config: s.Config}
	for i := s.outcomeOrder.Iterator(); !i.Done(); {
		_, k := i.Next()
		r, _ := s.outcomes.Get(k)
		d.Outcomes = append(d.Outcomes, storedOutcome{ID: k, Result: r})
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

// Decode reads a snapshot; no bytes mean the empty state.
func Decode(content []byte) (State, error) {
	s := NewState()
	if len(content) == 0 {
		return s, nil
	}
	var d snapshot
	if err := json.Unmarshal(content, &d); err != nil {
		return s, fmt.Errorf("decode control snapshot: %w; run the build that wrote it", err)
	}
	s.Config = d.Config
	for _, o := range d.Outcomes {
		s.outcomes = s.outcomes.Set(o.ID, o.Result)
		s.outcomeOrder = s.outcomeOrder.Append(o.ID)
	}
	for _, c := range d.Claims {
		s.claims = s.claims.Set(claimKey(c.Begin.Customer, c.Begin.Key), c)
	}
	s.expiry = immutable.NewList(d.Expiry...)
	return s, nil
}
