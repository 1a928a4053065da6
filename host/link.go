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
	beatTimeout    = time.Second
	quorumTimeout  = 2 * time.Second
	recordTimeout  = time.Second
	archiveTimeout = 5 * time.Second
	pullTimeout    = 2 * time.Second
	// linkQueue is how many messages may wait for one host; more are dropped, as a network may.
	linkQueue = 1024
)

// link sends messages to one host, a batch at a time.
type link struct {
	host    *Host
	name    string
	client  *peer.Client
	quorum  *batcher[quorum.Message]
	records *batcher[ledger.Line]
}

// linkTo returns the link to a host, making it when it is first used or the address has changed.
func (h *Host) linkTo(name string) (*link, bool) {
	a, ok := h.addressOf(name)
	if !ok {
		return nil, false
	}
	if l, ok := h.links.Load(name); ok && l.(*link).client.Address() == a {
		return l.(*link), true
	}
	n := &link{host: h, name: name, client: peer.NewClient(name, a, h.tls, &h.traffic)}
	n.quorum = newBatcher(h.done, linkQueue, n.sendMessages)
	n.records = newBatcher(h.done, linkQueue, n.sendRecords)
	h.links.Store(name, n)
	return n, true
}

// addressOf returns the address under which a host is reached from here.
func (h *Host) addressOf(name string) (string, bool) {
	i := slices.IndexFunc(h.settings.PeerRoutes, func(r conf.PeerRoute) bool { return r.Name == name })
	if i >= 0 {
		return h.settings.PeerRoutes[i].Address, true
	}
	s := h.State()
	return s.Address(name)
}

func (l *link) sendMessages(messages []quorum.Message) {
	if err := l.client.Call("Quorum", messages, &peer.Done{}, quorumTimeout); err != nil {
		l.host.log.WithError(err).WithField("host", l.name).Debug("quorum: messages were not delivered")
	}
}

func (l *link) sendRecords(lines []ledger.Line) {
	var k []string
	for _, r := range lines {
		k = append(k, core.RecordKey(r))
	}
	if err := l.client.Call("Records", lines, &peer.Done{}, recordTimeout); err != nil {
		l.host.log.WithError(err).WithField("host", l.name).Warn("ledger: lines were not copied, trying the next host")
		l.host.post(core.RecordsFailed{Host: l.name, Keys: k})
		return
	}
	l.host.post(core.RecordsCopied{Host: l.name, Keys: k})
}

// beatJob sends one heartbeat.
type beatJob struct {
	host *Host
	link *link
	beat core.SendHeartbeat
}

func (j beatJob) run() {
	var r member.Heartbeat
	if err := j.link.client.Call("Beat", j.beat.Heartbeat, &r, beatTimeout); err != nil {
		j.host.log.WithError(err).WithField("host", j.link.name).Debug("member: a heartbeat got no answer")
		j.host.post(core.HeartbeatFailed{Sent: j.beat.Sent})
		return
	}
	j.host.post(core.HeartbeatAnswered{Sent: j.beat.Sent, Heartbeat: r})
}

// archiveJob hands lines over to hosts with a disk.
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
		if err := l.client.Call("Records", j.archive.Lines, &peer.Done{}, archiveTimeout); err != nil {
			j.host.log.WithError(err).WithField("host", n).Warn("ledger: lines were not handed over, they are kept for now")
			return
		}
	}
	j.host.post(core.RecordsArchived{RequestIDs: k})
}

// pullJob fetches the configuration of another host.
type pullJob struct {
	host *Host
	link *link
}

func (j pullJob) run() {
	var r peer.PullReply
	v := j.host.State().Config.Revision
	if err := j.link.client.Call("Pull", peer.PullRequest{Revision: v}, &r, pullTimeout); err != nil {
		j.host.log.WithError(err).WithField("host", j.link.name).Warn("control: the configuration was not fetched")
		return
	}
	j.host.post(core.ConfigPulled{From: j.link.name, Config: r.Config, Evidence: r.Evidence, Nodes: r.Nodes})
}

// proposeJob hands a command of the host itself to the control log.
type proposeJob struct {
	host    *Host
	command core.ProposeCommand
}

func (j proposeJob) run() {
	if _, err := j.host.ProposeWithin(j.command.Command, ownProposalTimeout); err != nil {
		j.host.log.WithError(err).Warn("control: the host's own command was not confirmed, it is tried again")
	}
}
