package host

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/peer"
	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// ownProposalTimeout bounds the proposal of a command that originates at this host, including retries.
	ownProposalTimeout = 3 * time.Second
	// leaderRetryDelay is the pause before a command is sent again when no leader gave a definite answer.
	leaderRetryDelay = 100 * time.Millisecond
	// statusTimeout bounds a Status call to another host. A Bills call may take five times as long.
	statusTimeout = time.Second
)

// ErrNotReplicated is returned when no other host could store a ledger line.
var ErrNotReplicated = errors.New("no other host can keep the request's record; come back later or use another host")

// Decide returns the version and the endpoint for a request, or the refusal. It waits while the request is in the
// admission queue. When ctx ends first, Decide withdraws the request and returns ctx's error.
func (h *Host) Decide(ctx context.Context, a core.RouteRequest) (core.Decision, error) {
	d, g, err := awaitReply[core.Decision](ctx, h, a.ID, func() { h.post(core.RouteRequested{Request: a}) })
	if g {
		h.post(core.CallerLeft{ID: a.ID, Customer: h.customerOf(a.KeyHash)})
	}
	return d, err
}

// customerOf returns the customer whose contract has the key hash, or an empty string if there is none.
func (h *Host) customerOf(keyHash string) string {
	c, _ := h.State().Config.ContractByKeyHash(keyHash)
	return c.Customer
}

// Finish reports the end of an attempt to the reducer.
func (h *Host) Finish(f core.AttemptFinished) { h.post(f) }

// Announce passes an endpoint's announcement to the reducer.
func (h *Host) Announce(e model.Endpoint) { h.post(core.EndpointAnnounced{Endpoint: e}) }

// Rate passes the rating of an answer to the reducer.
func (h *Host) Rate(r route.Rating) { h.post(core.RatingReceived{Rating: r}) }

// Record stores a ledger line on this host and, where the deployment has more hosts, on others. It returns once the
// copies are confirmed. It returns ErrNotReplicated when no other host could store the line, and ctx's error when ctx
// ends first.
func (h *Host) Record(ctx context.Context, l ledger.Line) error {
	i := h.NewID()
	ok, _, err := awaitReply[bool](ctx, h, i, func() { h.post(core.RecordRequested{ID: i, Line: l}) })
	if err == nil && !ok {
		err = ErrNotReplicated
	}
	return err
}

// proposeLocally proposes a command to this host's own control log and waits up to proposeTimeout for the result. It
// sets the command's time to the current time. The verdict is config.VerdictNotLeader unless this host is the leader.
func (h *Host) proposeLocally(ctx context.Context, c config.Command) (config.Result, error) {
	x, f := context.WithTimeout(ctx, proposeTimeout)
	defer f()
	c.At = time.Now()
	i := h.NewID()
	r, _, err := awaitReply[config.Result](x, h, i, func() { h.post(core.CommandProposed{ID: i, Command: c}) })
	return r, err
}

// ProposeWithin calls Propose with a timeout in place of a context.
func (h *Host) ProposeWithin(c config.Command, timeout time.Duration) (config.Result, error) {
	x, f := context.WithTimeout(context.Background(), timeout)
	defer f()
	return h.Propose(x, c)
}

// Propose sends a command to the leader, and sends it again until the leader gives a definite result or ctx ends.
// Commands are idempotent, so sending one again is safe. When ctx ends, Propose returns config.ErrNoLeader if the
// command certainly had no effect, and config.ErrUnconfirmed if it may have taken effect.
func (h *Host) Propose(ctx context.Context, c config.Command) (config.Result, error) {
	s := false
	for {
		r, err := h.proposeOnce(ctx, c)
		switch {
		case err == nil && r.Verdict != config.VerdictNotLeader && r.Verdict != config.VerdictUnknown:
			return r, nil
		case err != nil && !errors.Is(err, config.ErrNoLeader), err == nil && r.Verdict == config.VerdictUnknown:
			s = true
		}
		select {
		case <-ctx.Done():
			if s {
				return r, config.ErrUnconfirmed
			}
			return r, config.ErrNoLeader
		case <-time.After(leaderRetryDelay):
		}
	}
}

// proposeOnce sends a command to the leader once; if this host is the leader, it proposes the command locally. It
// returns config.ErrNoLeader when no leader is known or the leader has no address.
func (h *Host) proposeOnce(ctx context.Context, c config.Command) (config.Result, error) {
	s := h.State()
	n := s.Leader()
	if n == "" {
		return config.Result{}, config.ErrNoLeader
	}
	if n == s.Members.Self.Name {
		return h.proposeLocally(ctx, c)
	}
	l, ok := h.linkTo(n)
	if !ok {
		return config.Result{}, config.ErrNoLeader
	}
	t := proposeTimeout
	if d, ok := ctx.Deadline(); ok {
		t = min(t, time.Until(d))
	}
	var r config.Result
	err := l.client.Call("Propose", c, &r, t)
	return r, err
}

// Bills returns the billed ledger lines of a customer, or of all customers if customer is empty. The lines of all
// hosts that answer are merged to one line for each request and sorted by request ID. missing has the names of the
// hosts that didn't answer.
func (h *Host) Bills(customer string) (lines []ledger.Line, missing []string) {
	s := h.State()
	m := ledger.NewState()
	for _, o := range s.Config.Members {
		r, err := h.fetchBills(s, o.Name, customer)
		if err != nil {
			missing = append(missing, o.Name)
		}
		for _, l := range r {
			m = m.WithLine(l)
		}
	}
	lines = slices.DeleteFunc(m.Lines(), func(l ledger.Line) bool { return !l.Billable() })
	slices.SortFunc(lines, func(a, b ledger.Line) int { return strings.Compare(a.RequestID, b.RequestID) })
	return lines, missing
}

// fetchBills returns the named host's copies of a customer's ledger lines.
func (h *Host) fetchBills(s core.State, name, customer string) (r []ledger.Line, err error) {
	q := peer.BillsRequest{Customer: customer}
	if name == s.Members.Self.Name {
		return (&handler{h}).Bills(q), nil
	}
	l, ok := h.linkTo(name)
	if !ok {
		return nil, fmt.Errorf("host %s has no address; correct its member entry", name)
	}
	err = l.client.Call("Bills", q, &r, 5*statusTimeout)
	return r, err
}

// Statuses returns the status of each member, in the order of the configuration. The status of a host that doesn't
// answer has an empty name.
func (h *Host) Statuses() []peer.Status {
	s := h.State()
	var r []peer.Status
	for _, m := range s.Config.Members {
		var t peer.Status
		if l, ok := h.linkTo(m.Name); m.Name == s.Members.Self.Name {
			t = (&handler{h}).Status()
		} else if ok {
			_ = l.client.Call("Status", peer.Ack{}, &t, statusTimeout)
		}
		r = append(r, t)
	}
	return r
}
