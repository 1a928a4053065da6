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
	// ownProposalTimeout bounds the host's own commands.
	ownProposalTimeout = 3 * time.Second
	// leaderRetry is the pause before a command is sent again while no leader answers.
	leaderRetry = 100 * time.Millisecond
	statusTime  = time.Second
)

// ErrNoCopy is returned when no other host could be reached to keep a line.
var ErrNoCopy = errors.New("no other host can keep the request's record; come back later or use another host")

// Decide asks where to run a request. It returns ctx's error when the caller leaves first.
func (h *Host) Decide(ctx context.Context, a core.RouteRequest) (core.Decision, error) {
	d, g, err := await[core.Decision](ctx, h, a.ID, func() { h.post(core.RouteRequested{Request: a}) })
	if g {
		h.post(core.CallerLeft{ID: a.ID, Customer: h.customerOf(a.KeyHash)})
	}
	return d, err
}

func (h *Host) customerOf(keyHash string) string {
	c, _ := h.State().Config.ContractByKeyHash(keyHash)
	return c.Customer
}

// Finish tells how an attempt ended.
func (h *Host) Finish(f core.AttemptFinished) { h.post(f) }

// Announce takes in an endpoint's announcement.
func (h *Host) Announce(e model.Endpoint) { h.post(core.EndpointAnnounced{Endpoint: e}) }

// Rate takes in the rating of an answer.
func (h *Host) Rate(r route.Rating) { h.post(core.RatingReceived{Rating: r}) }

// Record keeps a line here and on another host, and returns ErrNoCopy when that can't be done.
func (h *Host) Record(ctx context.Context, l ledger.Line) error {
	i := h.NewID()
	ok, _, err := await[bool](ctx, h, i, func() { h.post(core.RecordRequested{ID: i, Line: l}) })
	if err == nil && !ok {
		err = ErrNoCopy
	}
	return err
}

// proposeHere asks this host's own control log.
func (h *Host) proposeHere(ctx context.Context, c config.Command) (config.Result, error) {
	x, f := context.WithTimeout(ctx, proposeTimeout)
	defer f()
	c.At = time.Now()
	i := h.NewID()
	r, _, err := await[config.Result](x, h, i, func() { h.post(core.CommandProposed{ID: i, Command: c}) })
	return r, err
}

// ProposeWithin asks the leader to carry out a command, and asks again until it is answered or the time
// is over. Commands are idempotent, so that asking again is safe.
func (h *Host) ProposeWithin(c config.Command, timeout time.Duration) (config.Result, error) {
	x, f := context.WithTimeout(context.Background(), timeout)
	defer f()
	return h.Propose(x, c)
}

// Propose is ProposeWithin bounded by a context. It returns config.ErrNoLeader when the command certainly has had
// no effect, and config.ErrUnconfirmed when that isn't known.
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
		case <-time.After(leaderRetry):
		}
	}
}

func (h *Host) proposeOnce(ctx context.Context, c config.Command) (config.Result, error) {
	s := h.State()
	n := s.Leader()
	if n == "" {
		return config.Result{}, config.ErrNoLeader
	}
	if n == s.Members.Self.Name {
		return h.proposeHere(ctx, c)
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

// Bills returns the lines of all hosts that answer, one for each request, and the names of those that
// did not.
func (h *Host) Bills(customer string) (lines []ledger.Line, missing []string) {
	s := h.State()
	m := ledger.NewState()
	for _, o := range s.Config.Members {
		r, err := h.billsOf(s, o.Name, customer)
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

func (h *Host) billsOf(s core.State, name, customer string) (r []ledger.Line, err error) {
	q := peer.BillsRequest{Customer: customer}
	if name == s.Members.Self.Name {
		return (&handler{h}).Bills(q), nil
	}
	l, ok := h.linkTo(name)
	if !ok {
		return nil, fmt.Errorf("host %s has no address; correct its member entry", name)
	}
	err = l.client.Call("Bills", q, &r, 5*statusTime)
	return r, err
}

// Statuses describes all hosts that answer; the others have an empty name in their place.
func (h *Host) Statuses() []peer.Status {
	s := h.State()
	var r []peer.Status
	for _, m := range s.Config.Members {
		var t peer.Status
		if l, ok := h.linkTo(m.Name); m.Name == s.Members.Self.Name {
			t = (&handler{h}).Status()
		} else if ok {
			_ = l.client.Call("Status", peer.Done{}, &t, statusTime)
		}
		r = append(r, t)
	}
	return r
}
