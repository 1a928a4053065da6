package quorum

import "time"

// maxAppendEntries is the maximum number of entries in one Append.
const maxAppendEntries = 512

// snapshotRetryInterval is the minimum time between two snapshots that a leader sends to the same node.
const snapshotRetryInterval = 2 * time.Second

// noStamp is the Stamp of the reply to a message of an earlier term, which promises the leader of the current one nothing.
const noStamp = -time.Nanosecond

// Step processes an input and returns the next state and the actions to carry out. now is the time on the node's
// monotonic clock.
func Step(state State, now time.Duration, input Input) (State, Output) {
	t := &step{State: state, now: now}
	if t.ID == "" {
		return t.State, t.out
	}
	b := t.Hard
	switch i := input.(type) {
	case Tick:
		t.tick()
	case Receive:
		t.receive(i.Message)
	case Propose:
		t.propose(Entry{Data: i.Data})
	case ProposePeers:
		t.proposePeers(i.Peers)
	case Persisted:
		t.persisted(i)
	case Compact:
		t.compact(i)
	}
	if t.Ready(t.now) {
		t.State = t.withHeldAt(t.now)
	}
	if t.Hard != b {
		h := t.Hard
		t.out.Persist.Hard = &h
	}
	return t.State, t.out
}

// step is the working copy of the state and the output during one call of Step.
type step struct {
	State
	now time.Duration
	out Output
}

// send adds a message to the output. A message without a term gets the current one.
func (t *step) send(m Message) {
	m.From = t.ID
	if m.Term == 0 {
		m.Term = t.Hard.Term
	}
	if m.Kind == AppendReply {
		m.ReplyStamp = t.now + t.origin
	}
	t.out.Messages = append(t.out.Messages, m)
}

// append adds entries to the log, replacing conflicting ones, and to the output.
func (t *step) append(entries []Entry) {
	t.State = t.withEntries(entries)
	t.out.Persist.Entries = append(t.out.Persist.Entries, entries...)
}

func (t *step) tick() {
	p := t.now - t.tickedAt
	t.tickedAt = t.now
	if t.Role == Leader {
		t.tickLeader()
		return
	}
	if t.now < t.deadline || !t.mayCampaign() {
		return
	}
	if p > t.timing.Heartbeat && !t.resumed {
		// This node didn't run for a while. Messages of the leader may wait to be received.
		t.resumed, t.deadline = true, t.now+t.timing.Heartbeat
		return
	}
	t.resumed = false
	t.campaign(PreCandidate)
}

// tickLeader sends heartbeats when they are due. A leader that no majority has answered for long steps down.
func (t *step) tickLeader() {
	if t.now > t.GivesUpAt(t.now) {
		t.becomeFollower(t.Hard.Term, "")
		return
	}
	if t.now < t.deadline {
		return
	}
	t.deadline = t.now + t.timing.Heartbeat
	t.broadcast()
}

// becomeLeader starts leading. It proposes an empty entry, because a leader may commit entries of earlier terms only
// together with an entry of its own term.
func (t *step) becomeLeader() {
	t.Role = Leader
	t.Leader = t.ID
	t.electedAt = t.now
	t.campaigns = 0
	t.votes = nil
	t.progress = nil
	t.propose(Entry{})
	t.deadline = t.now + t.timing.Heartbeat
}

// becomeFollower makes this node a follower in the term, which may be the current one. leader may be empty. A candidacy ends
// with it, and its votes: the voters may be others when this node campaigns again.
func (t *step) becomeFollower(term uint64, leader NodeID) {
	if term > t.Hard.Term {
		t.Hard = HardState{Term: term}
	}
	t.votes, t.preVotes = nil, nil
	t.Role = Follower
	t.Leader = leader
	t.progress = nil
	t.State = t.withDeadline(t.now)
}

func (t *step) receive(m Message) {
	if m.To != t.ID {
		return
	}
	switch m.Kind {
	case PreVote, Vote:
		t.receiveVote(m)
	case PreVoteReply, VoteReply:
		t.receiveVoteReply(m)
	case Append, InstallSnapshot:
		t.receiveEntries(m)
	case AppendReply:
		t.receiveAppendReply(m)
	}
}

// receiveEntries processes an Append or InstallSnapshot. It rejects messages of earlier terms, and an Append whose
// previous entry isn't in the log.
func (t *step) receiveEntries(m Message) {
	if m.Term < t.Hard.Term {
		t.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: t.LastIndex(), Stamp: noStamp})
		return
	}
	t.becomeFollower(m.Term, m.From)
	t.State = t.withContact(m, t.now)
	if t.hasCurrentLeader() {
		t.campaigns, t.resumed = 0, false
	}
	if m.Kind == InstallSnapshot {
		t.install(m)
		return
	}
	p, ok := t.termAt(m.Index)
	if !ok || p != m.LogTerm {
		if m.Index < t.Snapshot.Index {
			t.send(Message{Kind: AppendReply, To: m.From, Index: t.Snapshot.Index, Stamp: m.Stamp})
			return
		}
		h := min(t.LastIndex(), m.Index-1)
		t.send(Message{Kind: AppendReply, To: m.From, Reject: true, Index: h, Stamp: m.Stamp})
		return
	}
	t.append(t.newEntries(m.Entries))
	l := m.Index + uint64(len(m.Entries))
	t.commitTo(min(m.Commit, l))
	t.confirm(m)
	t.send(Message{Kind: AppendReply, To: m.From, Index: l, Stamp: m.Stamp})
}

// confirm records when this node held all that was committed, if an Append that was processed says so.
func (t *step) confirm(m Message) {
	s, a, ok := t.withSendTime(m, t.now)
	t.State = s
	if ok && t.confirms(m) {
		t.State = t.withHeldAt(a)
	}
}

// newEntries returns the entries from the first one on that the log doesn't contain with the same term.
func (t *step) newEntries(entries []Entry) []Entry {
	for i, e := range entries {
		if p, ok := t.termAt(e.Index); !ok || p != e.Term {
			return entries[i:]
		}
	}
	return nil
}

// install replaces the log by the snapshot of a message, unless the snapshot is no newer than the commit index. Entries that follow
// the snapshot's last one stay: this node may have acknowledged them.
func (t *step) install(m Message) {
	if m.Snapshot == nil || m.Snapshot.Index <= t.Commit {
		t.send(Message{Kind: AppendReply, To: m.From, Index: t.Commit, Stamp: m.Stamp})
		return
	}
	if e, ok := t.termAt(m.Snapshot.Index); ok && e == m.Snapshot.Term {
		t.entries = t.entries.Slice(int(m.Snapshot.Index-t.Snapshot.Index), t.entries.Len())
		t.Stable = max(t.Stable, m.Snapshot.Index)
	} else {
		t.entries = t.entries.Slice(0, 0)
		t.Stable = m.Snapshot.Index
	}
	t.Snapshot = *m.Snapshot
	t.Commit = m.Snapshot.Index
	t.Peers = t.latestPeers()
	t.out.Persist.Snapshot = m.Snapshot
	t.out.Restore = m.Snapshot
	t.send(Message{Kind: AppendReply, To: m.From, Index: m.Snapshot.Index, Stamp: m.Stamp})
}

func (t *step) receiveAppendReply(m Message) {
	if m.Term > t.Hard.Term {
		t.becomeFollower(m.Term, "")
		return
	}
	if t.Role != Leader || m.Term != t.Hard.Term || !t.Peers.Has(m.From) || !t.sentInTerm(m.Stamp) {
		return
	}
	o := t.progressOf(m.From)
	f := m.Reject && m.Index < o.match && m.Stamp >= o.matchedAt+t.timing.Heartbeat // earlier ones may have been overtaken
	if f {
		t.out.Forgotten = append(t.out.Forgotten, Forgotten{Node: m.From, Acknowledged: o.match, Held: m.Index})
	}
	t.State = t.withProgress(m.From, func(p progress) progress {
		p.acked = max(p.acked, m.Stamp)
		if m.ReplyStamp != 0 {
			p.replied = m.ReplyStamp
		}
		if f {
			p.match, p.next = m.Index, m.Index+1
			return p
		}
		if m.Reject {
			p.next = max(p.match+1, min(p.next-1, m.Index+1))
			return p
		}
		p.matchedAt = max(p.matchedAt, m.Stamp)
		p.match = max(p.match, m.Index)
		p.next = max(p.next, p.match+1)
		return p
	})
	t.advanceCommit()
	if m.Reject || (t.progressOf(m.From).match > o.match && t.progressOf(m.From).next <= t.LastIndex()) {
		t.sendEntries(m.From)
	}
}

// sentInTerm reports whether this leader may have sent a message with the stamp in its current term. Builds that return the stamps
// of earlier terms may return one of an earlier start of this node, which counts from another origin.
func (t *step) sentInTerm(stamp time.Duration) bool { return stamp >= t.electedAt && stamp <= t.now }

// advanceCommit commits the entries that a majority has synced, provided that the last of them is of this term.
func (t *step) advanceCommit() {
	c := majorityReached(t.Peers.Voters, t.Match)
	if e, ok := t.termAt(c); ok && e == t.Hard.Term && c > t.Commit {
		t.commitTo(c)
		t.broadcast()
	}
}

// commitTo raises the commit index and adds the newly committed entries to the output. A leader that is no longer a
// voter after a committed membership change tells its peers the new commit index and steps down.
func (t *step) commitTo(index uint64) {
	index = min(index, t.LastIndex())
	if index <= t.Commit {
		return
	}
	t.out.Committed = append(t.out.Committed, t.entriesFrom(t.Commit+1, int(index-t.Commit))...)
	t.Commit = index
	if t.Role == Leader && !t.Peers.IsVoter(t.ID) {
		t.broadcast()
		t.becomeFollower(t.Hard.Term, "")
	}
}

// propose appends an entry on the leader; on other nodes it does nothing.
func (t *step) propose(e Entry) {
	if t.Role != Leader {
		return
	}
	e.Index, e.Term = t.LastIndex()+1, t.Hard.Term
	t.append([]Entry{e})
	t.out.Proposed = e
	t.broadcast()
}

// proposePeers appends a membership change on the leader. It refuses a change while another one is pending or may be, one
// without voters or with fewer than MinVoters, and one that adds or removes more than one voter, since its majorities needn't
// share a node with those before it.
func (t *step) proposePeers(p Peers) {
	if t.Role != Leader || t.PeersPending() || !t.hasCommittedInTerm() || len(p.Voters) == 0 {
		return
	}
	if p.MinVoters < t.Peers.MinVoters || len(p.Voters) < p.MinVoters {
		return
	}
	if p.votersNotIn(t.Peers)+t.Peers.votersNotIn(p) > 1 {
		return
	}
	t.propose(Entry{Peers: &p})
}

// persisted advances the stable index. It ignores entries that have been replaced in the meantime.
func (t *step) persisted(i Persisted) {
	if e, ok := t.termAt(i.Index); !ok || e != i.Term || i.Index <= t.Stable {
		return
	}
	t.Stable = i.Index
	if t.Role == Leader {
		t.advanceCommit()
	}
}

// broadcast sends entries, or an empty Append as a heartbeat, to all other voters and learners.
func (t *step) broadcast() {
	for _, n := range t.Peers.All() {
		if n != t.ID {
			t.sendEntries(n)
		}
	}
}

// sendEntries sends the entries from the node's next index on, or the snapshot if the log no longer contains them.
// It doesn't wait for earlier replies: once the node has a match index, next advances with each message.
func (t *step) sendEntries(node NodeID) {
	p := t.progressOf(node)
	l, ok := t.termAt(p.next - 1)
	if !ok {
		t.sendSnapshot(p)
		return
	}
	e := t.entriesFrom(p.next, maxAppendEntries)
	t.send(Message{Kind: Append, To: node, Index: p.next - 1, LogTerm: l, Entries: e, Commit: t.Commit, Unready: !t.Ready(t.now), Stamp: t.now, ReplyStamp: p.replied})
	if p.match > 0 {
		t.State = t.withProgress(node, func(p progress) progress { p.next += uint64(len(e)); return p })
	}
}

// sendSnapshot sends the snapshot, unless one was sent to the node within snapshotRetryInterval.
func (t *step) sendSnapshot(p progress) {
	if p.snapshotSent != 0 && t.now < p.snapshotSent+snapshotRetryInterval {
		return
	}
	s := t.Snapshot
	t.send(Message{Kind: InstallSnapshot, To: p.node, Snapshot: &s, Stamp: t.now})
	t.State = t.withProgress(p.node, func(p progress) progress { p.snapshotSent = t.now; return p })
}

// compact replaces log entries by a snapshot. It ignores indexes that aren't committed or already compacted.
func (t *step) compact(c Compact) {
	e, ok := t.termAt(c.Index)
	if !ok || c.Index > t.Commit || c.Index <= t.Snapshot.Index {
		return
	}
	k := int(c.Index - t.Snapshot.Index)
	s := Snapshot{Index: c.Index, Term: e, Peers: t.peersAt(c.Index), Data: c.Data}
	t.entries = t.entries.Slice(k, t.entries.Len())
	t.Snapshot = s
	t.out.Persist.Snapshot = &s
}

// peersAt returns the membership at an index that the log still contains.
func (s State) peersAt(index uint64) Peers {
	for i := int(index - s.Snapshot.Index - 1); i >= 0; i-- {
		if e := s.entries.Get(i); e.Peers != nil {
			return *e.Peers
		}
	}
	return s.Snapshot.Peers
}
