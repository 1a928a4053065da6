package host

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// execute carries out an effect that the reducer returned. Network calls and disk writes run in other goroutines, so
// that the reducer doesn't wait for them; it waits only while the queue of a disk writer is full.
func (h *Host) execute(effect core.Effect) {
	switch e := effect.(type) {
	case core.QuorumOutput:
		h.quorumWriter.put(e)
	case core.SendHeartbeat:
		if l, ok := h.linkTo(e.Sent.To); ok {
			j := heartbeatJob{h, l, e}
			go j.run()
		}
	case core.AnswerHeartbeat:
		h.replies.deliver(e.ID, e.Heartbeat)
	case core.PullConfig:
		if l, ok := h.linkTo(e.From); ok {
			j := pullJob{h, l}
			go j.run()
		}
	case core.AnswerProposal:
		h.replies.deliver(e.ID, e.Result)
	case core.ProposeCommand:
		j := proposeJob{h, e}
		go j.run()
	case core.AnswerRoute:
		h.replies.deliver(e.ID, e.Decision)
	case core.ArchiveRecords:
		j := archiveJob{h, e}
		go j.run()
	case core.SendOrder:
		j := orderJob{h, e}
		go j.run()
	case core.CopyRecords:
		h.copyRecords(e)
	case core.SyncRecords:
		h.ledgerWriter.put(e)
	case core.AnswerRecord:
		h.replies.deliver(e.ID, e.OK)
	case core.Log:
		h.writeLog(e)
	case core.IncrementMetric:
		h.metrics.GetOrCreateCounter(e.Metric).Inc()
	}
}

// copyRecords queues a ledger line for each receiving host. A full queue counts as a failed copy. Hosts without an
// address are skipped.
func (h *Host) copyRecords(e core.CopyRecords) {
	for _, n := range e.To {
		l, ok := h.linkTo(n)
		if !ok {
			continue
		}
		if !l.records.tryPut(e.Line) {
			j := copyFailureJob{h, n, e}
			go j.run()
		}
	}
}

// copyFailureJob reports a ledger line that didn't fit in the queue of a link. The job has a goroutine of its own, as
// the reducer's goroutine would wait for itself if it posted to a full event queue.
type copyFailureJob struct {
	host *Host
	name string
	copy core.CopyRecords
}

func (j copyFailureJob) run() {
	j.host.post(core.RecordsFailed{Host: j.name, Keys: []string{core.RecordKey(j.copy.Line)}})
}

// sendQuorum queues control log messages for their receivers. A node ID has the form HOST/DISK-IDENTITY. Messages to
// hosts without an address or with a full queue are dropped.
func (h *Host) sendQuorum(messages []quorum.Message) {
	for _, m := range messages {
		n, _, _ := strings.Cut(string(m.To), "/")
		l, ok := h.linkTo(n)
		if !ok {
			continue
		}
		l.quorum.tryPut(m)
	}
}

// writeLog writes a log line of the reducer at level info.
func (h *Host) writeLog(e core.Log) {
	f := make(logrus.Fields, len(e.Fields))
	for _, x := range e.Fields {
		f[x.Key] = x.Value
	}
	h.log.WithFields(f).Info(e.Part + ": " + e.Message)
}
