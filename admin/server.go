// Package admin serves the administration API to operators.
package admin

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"errors"
	"net/http"
	"strings"

	"connectrpc.com/connect"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/peer"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// Host is the part of a host that the administration API uses.
type Host interface {
	// Propose carries out a command through the leader. It returns config.ErrNoLeader where the command certainly
	// had no effect, and another error where its outcome is unknown.
	Propose(ctx context.Context, command config.Command) (config.Result, error)
	// State returns the host's current state.
	State() core.State
	// Statuses returns one status for each member in the order of the configuration, with an empty name for a
	// member that didn't answer.
	Statuses() []peer.Status
	// Bills returns one billing line for each request of the customer that ran or may have run, or for those of all
	// customers where the name is empty, and the names of the hosts that didn't answer.
	Bills(customer string) (lines []ledger.Line, missing []string)
}

// Server implements the administration API.
type Server struct{ host Host }

// NewHandler returns the HTTP handler of the administration API. Each call has to carry an operator key whose hash is
// in keyHashes as a bearer token. Without hashes every call is accepted; settings allow this on loopback addresses
// only.
func NewHandler(h Host, keyHashes []string) http.Handler {
	m := http.NewServeMux()
	m.Handle(admpb.NewAdminServiceHandler(&Server{h}, connect.WithInterceptors(authenticator(keyHashes))))
	return m
}

// authenticator returns an interceptor that answers Unauthenticated to calls without a known operator key.
func authenticator(keyHashes []string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			if len(keyHashes) > 0 && !isOperatorKey(keyHashes, r.Header().Get("Authorization")) {
				return nil, connect.NewError(connect.CodeUnauthenticated, errors.New("unknown operator key; present one named in the host's operator-keys"))
			}
			return next(ctx, r)
		}
	})
}

// isOperatorKey reports whether the Authorization header holds a key with one of the hashes. It compares hashes in
// constant time, so that response times don't reveal parts of a hash.
func isOperatorKey(keyHashes []string, authorization string) bool {
	k, _ := strings.CutPrefix(authorization, "Bearer ")
	h := model.HashKey(k)
	for _, o := range keyHashes {
		if subtle.ConstantTimeCompare([]byte(h), []byte(o)) == 1 {
			return true
		}
	}
	return false
}

// Change applies one change to the configuration. It returns FailedPrecondition if the request expects another
// revision than the current one (0 expects none), InvalidArgument if the change is invalid, Unavailable if no leader
// was found and the change had no effect, and Unknown if the change may have taken effect; the caller should then send
// it again with the same id.
func (s *Server) Change(ctx context.Context, r *connect.Request[admpb.ChangeRequest]) (*connect.Response[admpb.ChangeResponse], error) {
	c, err := parseChange(r.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	u, err := s.host.Propose(ctx, config.Command{Change: &c})
	switch {
	case errors.Is(err, config.ErrNoLeader):
		return nil, connect.NewError(connect.CodeUnavailable, err)
	case err != nil:
		return nil, connect.NewError(connect.CodeUnknown, err)
	case u.Verdict == config.VerdictConflict:
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New(u.Message))
	case u.Verdict != config.VerdictCommitted:
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New(u.Message))
	}
	return connect.NewResponse(&admpb.ChangeResponse{
		Revision: uint64(u.Revision), Accepted: len(u.Pending) == 0, Pending: u.Pending,
	}), nil
}

// parseChange converts a request to a change and decodes its document.
func parseChange(m *admpb.ChangeRequest) (config.Change, error) {
	c := config.Change{ID: m.GetChangeId(), Expect: model.Revision(m.GetExpectRevision()), Name: m.GetName()}
	if c.ID == "" {
		return c, errors.New("change-id is empty; choose one and keep it for resends")
	}
	var err error
	switch m.GetOperation() {
	case admpb.Operation_OPERATION_APPLY_CONTRACT:
		c.Operation = config.ApplyContract
		c.Contract, err = decode[model.Contract](m.GetDocument())
	case admpb.Operation_OPERATION_REMOVE_CONTRACT:
		c.Operation = config.RemoveContract
	case admpb.Operation_OPERATION_DECLARE_VERSION:
		c.Operation = config.DeclareVersion
		c.Version, err = decode[model.Version](m.GetDocument())
	case admpb.Operation_OPERATION_WITHDRAW_VERSION:
		c.Operation = config.WithdrawVersion
	case admpb.Operation_OPERATION_ADD_MEMBER:
		c.Operation = config.AddMember
		c.Member, err = decode[model.Member](m.GetDocument())
	case admpb.Operation_OPERATION_REMOVE_MEMBER:
		c.Operation = config.RemoveMember
	default:
		err = errors.New("operation isn't known; upgrade the host or the command")
	}
	return c, err
}

// decode decodes a JSON document; see conf.Decode.
func decode[T any](b []byte) (*T, error) {
	v, err := conf.Decode[T](b)
	return &v, err
}

// Show returns the configuration in force at this host as JSON, and its revision.
func (s *Server) Show(context.Context, *connect.Request[admpb.ShowRequest]) (*connect.Response[admpb.ShowResponse], error) {
	c := s.host.State().Config
	b, err := json.Marshal(c)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&admpb.ShowResponse{Revision: uint64(c.Revision), Document: b}), nil
}

// Status returns the status of each member. A member that didn't answer has only its name and data centre.
func (s *Server) Status(context.Context, *connect.Request[admpb.StatusRequest]) (*connect.Response[admpb.StatusResponse], error) {
	t := s.host.Statuses()
	r := &admpb.StatusResponse{}
	for i, m := range s.host.State().Config.Members {
		h := &admpb.HostStatus{Name: m.Name, DataCentre: m.DataCentre}
		if i < len(t) && t[i].Name != "" {
			fillStatus(h, t[i])
		}
		r.Hosts = append(r.Hosts, h)
	}
	return connect.NewResponse(r), nil
}

// fillStatus copies the status that a host returned to its API form and marks the host as reachable.
func fillStatus(h *admpb.HostStatus, t peer.Status) {
	h.Reachable = true
	h.Standing = t.Standing.String()
	h.Revision = uint64(t.Revision)
	h.Leading = t.Leading
	h.Term = t.Term
	h.Commit = t.Commit
	h.Running = uint32(t.Running)
	h.Waiting = uint32(t.Waiting)
	h.Endpoints = uint32(t.Endpoints)
	h.Lines = uint64(t.Lines)
	h.BytesIn, h.BytesOut, h.LogBytes = t.BytesIn, t.BytesOut, t.LogBytes
	h.Node = string(t.Node)
	h.Pending = t.Pending
	for _, n := range t.Voters {
		h.Voters = append(h.Voters, string(n))
	}
	for _, n := range t.Learners {
		h.Learners = append(h.Learners, string(n))
	}
}

// Bills returns the billing lines of one customer's requests, or of all requests where no customer is named, and the
// names of the hosts whose lines are missing.
func (s *Server) Bills(_ context.Context, r *connect.Request[admpb.BillsRequest]) (*connect.Response[admpb.BillsResponse], error) {
	l, m := s.host.Bills(r.Msg.GetCustomer())
	a := &admpb.BillsResponse{MissingHosts: m}
	for _, x := range l {
		a.Lines = append(a.Lines, &admpb.BillLine{
			RequestId: x.RequestID, Customer: x.Customer, Version: x.Version, Endpoint: x.Endpoint, Host: x.Host,
			Stage: x.Stage.String(), Outcome: x.Outcome.String(), InputTokens: x.Usage.InputTokens,
			OutputTokens: x.Usage.OutputTokens, Micros: x.Micros, UnixMillis: x.At.UnixMilli(),
		})
	}
	return connect.NewResponse(a), nil
}

// Explain returns the versions that this host would choose for a request of a customer and class, with the reason and
// the properties of each candidate. It returns NotFound for an unknown customer or class.
func (s *Server) Explain(_ context.Context, r *connect.Request[admpb.ExplainRequest]) (*connect.Response[admpb.ExplainResponse], error) {
	t := s.host.State()
	c, ok := t.Config.Contract(r.Msg.GetCustomer())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("no contract of this customer; list the contracts"))
	}
	k, ok := c.Terms(r.Msg.GetClass())
	if !ok {
		return nil, connect.NewError(connect.CodeNotFound, errors.New("the contract has no such class; show the contract"))
	}
	d := t.DataCentres()
	p := func(n string) bool { return t.Routes.HasUsableEndpoint(n, d) }
	// A draw below 1 may select a version for exploration. A draw of 1 always gives the regular choice.
	x := route.ChooseVersion(t.Config, t.Routes.Evidence, route.VersionQuery{Contract: c, Terms: k, Draw: 1}, p, t.Now)
	a := &admpb.ExplainResponse{Versions: x.Versions, Reason: x.Reason}
	for _, o := range x.Candidates {
		a.Candidates = append(a.Candidates, &admpb.Candidate{
			Version: o.Version, CostMicros: o.Cost, Ratings: o.Ratings, Lower: o.Lower, Upper: o.Upper,
			Health: o.Health.String(), Refused: o.Ineligible,
		})
	}
	return connect.NewResponse(a), nil
}
