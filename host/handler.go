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
	handleTimeout  = 2 * time.Second
	proposeTimeout = 6 * time.Second
)

// handler carries out what other hosts ask.
type handler struct{ host *Host }

// Beat answers a heartbeat.
func (h *handler) Beat(b member.Heartbeat) (member.Heartbeat, error) {
	c, f := context.WithTimeout(context.Background(), handleTimeout)
	defer f()
	i := h.host.NewID()
	r, _, err := await[member.Heartbeat](c, h.host, i, func() { h.host.post(core.HeartbeatReceived{ID: i, Heartbeat: b}) })
	return r, err
}

// Quorum takes messages of the control log.
func (h *handler) Quorum(m []quorum.Message) { h.host.post(core.QuorumReceived{Messages: m}) }

// Propose carries out a command if this host leads.
func (h *handler) Propose(c config.Command) (config.Result, error) {
	return h.host.proposeHere(context.Background(), c)
}

// Pull returns the configuration, the evidence and the endpoints known here.
func (h *handler) Pull(peer.PullRequest) peer.PullReply {
	s := h.host.State()
	r := peer.PullReply{Config: s.Config, Evidence: s.Routes.Evidence.Entries()}
	for _, n := range s.Routes.Endpoints() {
		r.Nodes = append(r.Nodes, member.Announcement{Endpoint: n.Endpoint, Age: s.Now - n.LastSeen})
	}
	return r
}

// Records keeps lines of another host.
func (h *handler) Records(l []ledger.Line) error {
	c, f := context.WithTimeout(context.Background(), handleTimeout)
	defer f()
	i := h.host.NewID()
	ok, _, err := await[bool](c, h.host, i, func() { h.host.post(core.RecordsReceived{ID: i, Lines: l}) })
	if err == nil && !ok {
		err = fmt.Errorf("the lines were not kept; send them to another host")
	}
	return err
}

// Bills returns this host's copies of lines.
func (h *handler) Bills(r peer.BillsRequest) []ledger.Line {
	var k []ledger.Line
	for _, l := range h.host.lines().Lines() {
		if r.Customer == "" || l.Customer == r.Customer {
			k = append(k, l)
		}
	}
	return k
}

// lines returns the lines in memory and those on the disk.
func (h *Host) lines() ledger.State {
	s := h.State().Ledger
	if h.disk == nil {
		return s
	}
	b, err := h.disk.Bills()
	if err != nil {
		h.log.WithError(err).Error("ledger: the lines on the disk can't be read")
		return s
	}
	d, err := decodeLines(b)
	if err != nil {
		h.log.WithError(err).Error("ledger: the lines on the disk can't be read")
		return s
	}
	for _, l := range s.Lines() {
		d = d.WithLine(l)
	}
	return d
}

// Status describes this host.
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
