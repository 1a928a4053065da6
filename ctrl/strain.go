package ctrl

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// strainWindow is the time over which a Strain is taken.
	strainWindow = time.Second
	// longDelay is the delay of a tick or of an event of the control log from which a host is logged as overloaded.
	longDelay = 150 * time.Millisecond
)

// Strain says how far a control host was behind its work in a time of strainWindow. Durations are the longest ones in it.
type Strain struct {
	// EventWait is how long an event of the control log or an order waited for the event loop.
	EventWait time.Duration
	// TickLate is how late a tick was.
	TickLate time.Duration
	// EventTime is how long an event took, and SlowestEvent the kind of that event.
	EventTime    time.Duration
	SlowestEvent string
	// ReplyTime is how long it took to build the reply to an entry host.
	ReplyTime time.Duration
	// CallTime is how long another control host took to acknowledge messages of the control log.
	CallTime time.Duration
	// WriteTime is how long a write of the control log to the data folder took, or has taken so far.
	WriteTime time.Duration
	// Exchanges counts the exchanges of entry hosts, and FirstExchanges those that were the first of their connection.
	Exchanges      int
	FirstExchanges int
	// LateVotes counts votes that came after the campaign that they were for.
	LateVotes int
}

// plus returns the strain of two times together.
func (s Strain) plus(o Strain) Strain {
	e := s
	if o.EventTime > s.EventTime {
		e = o
	}
	return Strain{
		EventWait: max(s.EventWait, o.EventWait), TickLate: max(s.TickLate, o.TickLate), CallTime: max(s.CallTime, o.CallTime),
		WriteTime: max(s.WriteTime, o.WriteTime),
		EventTime: e.EventTime, SlowestEvent: e.SlowestEvent, ReplyTime: max(s.ReplyTime, o.ReplyTime),
		Exchanges: s.Exchanges + o.Exchanges, FirstExchanges: s.FirstExchanges + o.FirstExchanges, LateVotes: s.LateVotes + o.LateVotes,
	}
}

// overloaded reports whether the host was behind its work for longer than longDelay.
func (s Strain) overloaded() bool { return s.delay() > longDelay }

// awaitsDisk reports whether a write took longer than longDelay, or has taken longer so far.
func (s Strain) awaitsDisk() bool { return s.WriteTime > longDelay }

// fields returns the strain as fields of a log line, with durations in ms.
func (s Strain) fields() logrus.Fields {
	return logrus.Fields{
		"event-wait": s.EventWait.Milliseconds(), "tick-late": s.TickLate.Milliseconds(), "call-time": s.CallTime.Milliseconds(), "exchanges": s.Exchanges, "first-exchanges": s.FirstExchanges,
		"late-votes": s.LateVotes, "event-time": s.EventTime.Milliseconds(), "slowest-event": s.SlowestEvent, "reply-time": s.ReplyTime.Milliseconds(),
		"write-time": s.WriteTime.Milliseconds(),
	}
}

// strainMeter measures the strain of a host and keeps histograms of it. It is safe for concurrent use.
type strainMeter struct {
	eventWait, eventTime, tickLate, callTime, replyTime, writeTime *metrics.Histogram
	lateVotes, firstExchanges                                      *metrics.Counter

	lock sync.Mutex
	// began is when the current window began. before is the strain in the window before it.
	began           time.Duration
	current, before Strain
	// unread is set while the window before hasn't been returned by finished.
	unread bool
	// writing is set while a write is under way, and writeBegan is when it began.
	writing    bool
	writeBegan time.Duration
}

func newStrainMeter(m *metrics.Set) *strainMeter {
	return &strainMeter{
		eventWait: m.NewHistogram("control_event_wait_seconds"), eventTime: m.NewHistogram("control_event_seconds"), replyTime: m.NewHistogram("control_reply_seconds"),
		tickLate: m.NewHistogram("control_tick_late_seconds"), callTime: m.NewHistogram("control_log_call_seconds"),
		writeTime: m.NewHistogram("control_log_write_seconds"),
		lateVotes: m.NewCounter("control_late_votes_total"), firstExchanges: m.NewCounter("control_first_exchanges_total"),
	}
}

// add adds an observation to the current window.
func (m *strainMeter) add(now time.Duration, s Strain) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.advance(now)
	m.current = m.current.plus(s)
}

// advance begins another window if the current one is over.
func (m *strainMeter) advance(now time.Duration) {
	if now < m.began+strainWindow {
		return
	}
	m.before, m.current, m.unread = m.current.plus(m.openWrite(now)), Strain{}, true
	if now >= m.began+2*strainWindow {
		m.before = m.openWrite(now)
	}
	m.began = now
}

// openWrite returns the strain of a write that is under way.
func (m *strainMeter) openWrite(now time.Duration) Strain {
	if !m.writing {
		return Strain{}
	}
	return Strain{WriteTime: now - m.writeBegan}
}

// writeBegins records that a write begins. There is one at a time.
func (m *strainMeter) writeBegins(now time.Duration) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.writing, m.writeBegan = true, now
}

// writeEnds records that the write that is under way ends.
func (m *strainMeter) writeEnds(now time.Duration) {
	m.lock.Lock()
	defer m.lock.Unlock()
	s := m.openWrite(now)
	m.writing = false
	m.writeTime.Update(s.WriteTime.Seconds())
	m.advance(now)
	m.current = m.current.plus(s)
}

// eventTaken records that an event that came at a time is taken by the event loop.
func (m *strainMeter) eventTaken(came, now time.Duration) {
	m.eventWait.Update((now - came).Seconds())
	m.add(now, Strain{EventWait: now - came})
}

// reduced records that an event and its effects took some time.
func (m *strainMeter) reduced(e Event, took, now time.Duration) {
	m.eventTime.Update(took.Seconds())
	m.add(now, Strain{EventTime: took, SlowestEvent: eventKind(e)})
}

// eventKind returns the name of an event's type without its package.
func eventKind(e Event) string {
	_, n, _ := strings.Cut(fmt.Sprintf("%T", e), ".")
	return n
}

// replied records that building the reply to an entry host took some time.
func (m *strainMeter) replied(took, now time.Duration) {
	m.replyTime.Update(took.Seconds())
	m.add(now, Strain{ReplyTime: took})
}

// ticked records a tick that comes some time after the one before.
func (m *strainMeter) ticked(since, now time.Duration) {
	d := max(0, since-tickInterval)
	m.tickLate.Update(d.Seconds())
	m.add(now, Strain{TickLate: d})
}

// called records a call with messages of the control log that took some time.
func (m *strainMeter) called(took, now time.Duration) {
	m.callTime.Update(took.Seconds())
	m.add(now, Strain{CallTime: took})
}

// exchanged records an exchange of an entry host.
func (m *strainMeter) exchanged(first bool, now time.Duration) {
	s := Strain{Exchanges: 1}
	if first {
		s.FirstExchanges = 1
		m.firstExchanges.Inc()
	}
	m.add(now, s)
}

// votedLate records a vote that came after its campaign.
func (m *strainMeter) votedLate(now time.Duration) {
	m.lateVotes.Inc()
	m.add(now, Strain{LateVotes: 1})
}

// recent returns the strain of the current window and the one before.
func (m *strainMeter) recent(now time.Duration) Strain {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.advance(now)
	return m.before.plus(m.current).plus(m.openWrite(now))
}

// finished returns the strain of a window that is over, once for each window.
func (m *strainMeter) finished(now time.Duration) (Strain, bool) {
	m.lock.Lock()
	defer m.lock.Unlock()
	m.advance(now)
	k := m.unread
	m.unread = false
	return m.before, k
}
