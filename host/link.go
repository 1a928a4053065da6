package host

import (
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/peer"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

const (
	heartbeatTimeout = time.Second
	quorumTimeout    = 2 * time.Second
	recordTimeout    = time.Second
	archiveTimeout   = 5 * time.Second
	pullTimeout      = 2 * time.Second
	// linkQueueLength is the maximum number of messages queued for one host. Further control log messages are
	// dropped, as messages can also get lost in the network; further ledger lines count as failed copies.
	linkQueueLength = 1024
)

// link queues control log messages and ledger lines for one other host and sends them in batches.
type link struct {
	host    *Host
	name    string
	client  *peer.Client
	quorum  *batcher[quorum.Message]
	records *batcher[ledger.Line]
}

// linkTo returns the link to a host. It creates the link on first use and replaces it when the host's address has
// changed. It returns false when the host has no address.
func (h *Host) linkTo(name string) (*link, bool) {
	a, ok := h.addressOf(name)
	if !ok {
		return nil, false
	}
	if l, ok := h.links.Load(name); ok && l.(*link).client.Address() == a {
		return l.(*link), true
	}
	n := &link{host: h, name: name, client: peer.NewClient(name, a, h.tls, &h.traffic)}
	n.quorum = newBatcher(h.done, linkQueueLength, n.sendMessages)
	n.records = newBatcher(h.done, linkQueueLength, n.sendRecords)
	h.links.Store(name, n)
	return n, true
}

// addressOf returns the address at which this host reaches another: the peer route in the settings, or else the
// address of the member.
func (h *Host) addressOf(name string) (string, bool) {
	i := slices.IndexFunc(h.settings.PeerRoutes, func(r conf.PeerRoute) bool { return r.Name == name })
	if i >= 0 {
		return h.settings.PeerRoutes[i].Address, true
	}
	s := h.State()
	return s.Address(name)
}

// sendMessages sends control log messages. Messages that can't be delivered are dropped.
func (l *link) sendMessages(messages []quorum.Message) {
	if err := l.client.Call("Quorum", messages, &peer.Ack{}, quorumTimeout); err != nil {
		l.host.log.WithError(err).WithField("host", l.name).Debug("quorum: sending control log messages failed")
	}
}

// sendRecords sends ledger lines and reports to the reducer whether the host stored them.
func (l *link) sendRecords(lines []ledger.Line) {
	var k []string
	for _, r := range lines {
		k = append(k, core.RecordKey(r))
	}
	if err := l.client.Call("Records", lines, &peer.Ack{}, recordTimeout); err != nil {
		l.host.log.WithError(err).WithField("host", l.name).Warn("ledger: copying lines to the host failed, another host is tried")
		l.host.post(core.RecordsFailed{Host: l.name, Keys: k})
		return
	}
	l.host.post(core.RecordsCopied{Host: l.name, Keys: k})
}

// heartbeatJob sends one heartbeat and reports the answer or the failure to the reducer.
type heartbeatJob struct {
	host    *Host
	link    *link
	request core.SendHeartbeat
}

func (j heartbeatJob) run() {
	var r member.Heartbeat
	if err := j.link.client.Call("Beat", j.request.Heartbeat, &r, heartbeatTimeout); err != nil {
		j.host.log.WithError(err).WithField("host", j.link.name).Debug("member: a heartbeat was not answered")
		j.host.post(core.HeartbeatFailed{Sent: j.request.Sent})
		return
	}
	j.host.post(core.HeartbeatAnswered{Sent: j.request.Sent, Heartbeat: r})
}

// archiveJob sends settled ledger lines to hosts with a disk. It reports RecordsArchived only when all of these hosts
// have stored the lines.
type archiveJob struct {
	host    *Host
	archive core.ArchiveRecords
}

func (j archiveJob) run() {
	var k []string
	for _, r := range j.archive.Lines {
		k = append(k, r.RequestID)
	}
	for _, n := range j.archive.To {
		l, ok := j.host.linkTo(n)
		if !ok {
			return
		}
		if err := l.client.Call("Records", j.archive.Lines, &peer.Ack{}, archiveTimeout); err != nil {
			j.host.log.WithError(err).WithField("host", n).Warn("ledger: archiving lines on the host failed, they stay in memory for now")
			return
		}
	}
	j.host.post(core.RecordsArchived{RequestIDs: k})
}

// pullJob fetches the configuration, the evidence about versions and the known endpoints of another host.
type pullJob struct {
	host *Host
	link *link
}

func (j pullJob) run() {
	var r peer.PullReply
	v := j.host.State().Config.Revision
	if err := j.link.client.Call("Pull", peer.PullRequest{Revision: v}, &r, pullTimeout); err != nil {
		j.host.log.WithError(err).WithField("host", j.link.name).Warn("control: fetching the configuration from the host failed")
		return
	}
	j.host.post(core.ConfigPulled{From: j.link.name, Config: r.Config, Evidence: r.Evidence, Nodes: r.Nodes})
}

// proposeJob proposes a command that originates at this host.
type proposeJob struct {
	host    *Host
	command core.ProposeCommand
}

func (j proposeJob) run() {
	if _, err := j.host.ProposeWithin(j.command.Command, ownProposalTimeout); err != nil {
		j.host.log.WithError(err).Warn("control: a command of this host was not confirmed, it is proposed again later")
	}
}
