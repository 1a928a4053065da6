package host

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/core"
	"github.com/hickoryshelf/hickoryshelf/quorum"
)

// carryOut does what the reducer asks; nothing here waits for the network or the disk.
func (h *Host) carryOut(effect core.Effect) {
	switch e := effect.(type) {
	case core.QuorumOutput:
		h.writer.put(e)
	case core.SendHeartbeat:
		if l, ok := h.linkTo(e.Sent.To); ok {
			j := beatJob{h, l, e}
			go j.run()
		}
	case core.AnswerHeartbeat:
		h.waits.answer(e.ID, e.Heartbeat)
	case core.PullConfig:
		if l, ok := h.linkTo(e.From); ok {
			j := pullJob{h, l}
			go j.run()
		}
	case core.AnswerProposal:
		h.waits.answer(e.ID, e.Result)
	case core.ProposeCommand:
		j := proposeJob{h, e}
		go j.run()
	case core.AnswerRoute:
		h.waits.answer(e.ID, e.Decision)
	case core.ArchiveRecords:
		j := archiveJob{h, e}
		go j.run()
	case core.SendOrder:
		j := orderJob{h, e}
		go j.run()
	case core.CopyRecords:
		h.copyRecords(e)
	case core.SyncRecords:
		h.bills.put(e)
	case core.AnswerRecord:
		h.waits.answer(e.ID, e.OK)
	case core.Log:
		h.writeLog(e)
	case core.IncrementMetric:
		h.metrics.GetOrCreateCounter(e.Metric).Inc()
	}
}

func (h *Host) copyRecords(e core.CopyRecords) {
	for _, n := range e.To {
		l, ok := h.linkTo(n)
		if !ok {
			continue
		}
		if !l.records.offer(e.Line) {
			j := failedCopy{h, n, e}
			go j.run()
		}
	}
}

// failedCopy reports a line that had no room in a link's queue.
type failedCopy struct {
	host *Host
	name string
	copy core.CopyRecords
}

func (f failedCopy) run() {
	f.host.post(core.RecordsFailed{Host: f.name, Keys: []string{core.RecordKey(f.copy.Line)}})
}

func (h *Host) sendQuorum(messages []quorum.Message) {
	for _, m := range messages {
		n, _, _ := strings.Cut(string(m.To), "/")
		l, ok := h.linkTo(n)
		if !ok {
			continue
		}
		l.quorum.offer(m)
	}
}

func (h *Host) writeLog(e core.Log) {
	f := make(logrus.Fields, len(e.Fields))
	for _, x := range e.Fields {
		f[x.Key] = x.Value
	}
	h.log.WithFields(f).Info(e.Part + ": " + e.Message)
}
