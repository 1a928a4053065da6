package host

import (
	"context"
	"fmt"
	"time"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/peer"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	// handleTimeout bounds the wait for the reducer's reply to a Beat or Records call from another host.
	handleTimeout = 2 * time.Second
	// proposeTimeout bounds one attempt to propose a command.
	proposeTimeout = 6 * time.Second
)

// handler implements peer.Handler: it answers the calls of other hosts.
type handler struct{ host *Host }

// Beat passes another host's heartbeat to the reducer and returns this host's answer. It returns an error when the
// reducer doesn't reply within handleTimeout.
func (h *handler) Beat(b member.Heartbeat) (member.Heartbeat, error) {
	c, f := context.WithTimeout(context.Background(), handleTimeout)
	defer f()
	i := h.host.NewID()
	r, _, err := awaitReply[member.Heartbeat](c, h.host, i, func() { h.host.post(core.HeartbeatReceived{ID: i, Heartbeat: b}) })
	return r, err
}

// Quorum passes control log messages to the reducer.
func (h *handler) Quorum(m []quorum.Message) { h.host.post(core.QuorumReceived{Messages: m}) }

// Propose proposes a command to this host's control log. The verdict is config.VerdictNotLeader unless this host is
// the leader.
func (h *handler) Propose(c config.Command) (config.Result, error) {
	return h.host.proposeLocally(context.Background(), c)
}

// Pull returns the configuration in force at this host, the evidence about versions and the known endpoints with the
// age of their announcements.
func (h *handler) Pull(peer.PullRequest) peer.PullReply {
	s := h.host.State()
	r := peer.PullReply{Config: s.Config, Evidence: s.Routes.Evidence.Entries()}
	for _, n := range s.Routes.Endpoints() {
		r.Nodes = append(r.Nodes, member.Announcement{Endpoint: n.Endpoint, Age: s.Now - n.LastSeen})
	}
	return r
}

// Records stores ledger lines of another host. It returns nil once the lines are synced to disk, or are in memory if
// this host has no disk.
func (h *handler) Records(l []ledger.Line) error {
	c, f := context.WithTimeout(context.Background(), handleTimeout)
	defer f()
	i := h.host.NewID()
	ok, _, err := awaitReply[bool](c, h.host, i, func() { h.host.post(core.RecordsReceived{ID: i, Lines: l}) })
	if err == nil && !ok {
		err = fmt.Errorf("the lines were not kept; send them to another host")
	}
	return err
}

// Bills returns this host's copies of a customer's ledger lines, or of all lines if the request names no customer.
func (h *handler) Bills(r peer.BillsRequest) []ledger.Line {
	var k []ledger.Line
	for _, l := range h.host.ledgerLines().Lines() {
		if r.Customer == "" || l.Customer == r.Customer {
			k = append(k, l)
		}
	}
	return k
}

// ledgerLines returns the ledger lines in memory, merged with the lines on disk. If the lines on disk can't be read,
// it logs the error and returns only the lines in memory.
func (h *Host) ledgerLines() ledger.State {
	s := h.State().Ledger
	if h.disk == nil {
		return s
	}
	b, err := h.disk.LedgerRecords()
	if err != nil {
		h.log.WithError(err).Error("ledger: reading the lines on disk failed, using only the lines in memory")
		return s
	}
	d, err := decodeLines(b)
	if err != nil {
		h.log.WithError(err).Error("ledger: decoding the lines on disk failed, using only the lines in memory")
		return s
	}
	for _, l := range s.Lines() {
		d = d.WithLine(l)
	}
	return d
}

// Status returns the status of this host. Pending is set only on the leader.
func (h *handler) Status() peer.Status {
	s := h.host.State()
	r := peer.Status{
		Self: s.Members.Self, Standing: s.Standing(), Term: s.Quorum.Hard.Term, Commit: s.Quorum.Commit,
		Voters: s.Quorum.Peers.Voters, Learners: s.Quorum.Peers.Learners, Running: s.Running(),
		Waiting: s.Admit.QueueLength(), Endpoints: len(s.Routes.Endpoints()), Lines: s.Ledger.Len(),
		BytesIn: h.host.traffic.In(), BytesOut: h.host.traffic.Out(),
	}
	if s.Members.Self.Leading {
		r.Pending = s.Pending(s.Config.Revision)
	}
	return r
}
