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

// Host is what the administration API needs of the host.
type Host interface {
	Propose(ctx context.Context, command config.Command) (config.Result, error)
	State() core.State
	Statuses() []peer.Status
	Bills(customer string) (lines []ledger.Line, missing []string)
}

// Server implements the administration API.
type Server struct{ host Host }

// NewHandler returns the HTTP handler of the API. Operators present one of the keys whose hashes are given;
// with no hashes the API is open, which settings allow on loopback only.
func NewHandler(h Host, keyHashes []string) http.Handler {
	m := http.NewServeMux()
	m.Handle(admpb.NewAdminServiceHandler(&Server{h}, connect.WithInterceptors(authenticator(keyHashes))))
	return m
}

// authenticator refuses calls without a known operator key.
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

// Change applies one change. It returns FailedPrecondition where the expected revision is old,
// InvalidArgument where the change can't be applied, Unavailable where it had no effect for want of a
// leader, and Unknown where it may have taken effect and should be resent with its id.
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

func decode[T any](b []byte) (*T, error) {
	v, err := conf.Decode[T](b)
	return &v, err
}

// Show returns the configuration in force at the host.
func (s *Server) Show(context.Context, *connect.Request[admpb.ShowRequest]) (*connect.Response[admpb.ShowResponse], error) {
	c := s.host.State().Config
	b, err := json.Marshal(c)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&admpb.ShowResponse{Revision: uint64(c.Revision), Document: b}), nil
}

// Status describes all hosts.
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

// Bills lists the lines of requests that ran.
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

// Explain tells which version a request would get, and why.
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
	// A draw of 1 keeps the answer free of exploration.
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
