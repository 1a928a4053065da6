package logger

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// flushTimeout bounds the time that Flush waits for the queued lines at the end of the process.
const flushTimeout = 200 * time.Millisecond

// line is a line that waits to be written.
type line struct {
	text  []byte
	level logrus.Level
	// number is the number of the line in the order in which the lines came.
	number uint64
	// losses are what the line reports, if it is a report of losses.
	losses losses
}

func (l line) size() int { return len(l.text) }

// Writer passes lines to an underlying writer from a goroutine of its own, through bounded queues. Lines below the warning level
// take no room from the others. Lines that are kept are written in the order in which they came. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	dropped atomic.Uint64

	lock             sync.Mutex
	warnings, others queue[line]
	// number is the number of the last line.
	number uint64
	// ended is closed at the end of the goroutine that writes; it is nil while nothing is to be written.
	ended chan struct{}
	// flushing is set while Flush waits: warnings go first then.
	flushing bool
	// losses are those since the last report, which was written at reportedAt. timer writes the next one, if it isn't nil.
	losses     losses
	reportedAt time.Time
	timer      *time.Timer
	// report formats the reports, or is nil if there are none.
	report func(losses) ([]byte, error)
}

// NewWriter returns a Writer that writes to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out, losses: newLosses()} }

// Write queues a copy of a line below the warning level, or drops the line if there is no room. It never blocks or returns an
// error.
func (w *Writer) Write(text []byte) (int, error) {
	w.writeLine(logrus.InfoLevel, append([]byte(nil), text...))
	return len(text), nil
}

// writeLine queues a line, or drops it if there is no room. The text must not be changed afterwards.
func (w *Writer) writeLine(level logrus.Level, text []byte) {
	w.lock.Lock()
	defer w.lock.Unlock()
	q := &w.others
	if level <= logrus.WarnLevel {
		q = &w.warnings
	}
	w.number++
	if !q.push(line{text: text, level: level, number: w.number}) {
		w.drop(level)
	}
	w.start()
}

// leaveOut counts a line that the rate limit left out.
func (w *Writer) leaveOut(level logrus.Level) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.losses.limited[level]++
	w.start()
}

// setReport sets what formats the reports of losses.
func (w *Writer) setReport(report func(losses) ([]byte, error)) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.report = report
}

// drop counts a line that isn't written. w is locked.
func (w *Writer) drop(level logrus.Level) {
	w.dropped.Add(1)
	w.losses.dropped[level]++
}

// Dropped returns the number of lines that were lost because there was no room or writing failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// start starts the goroutine that writes, unless it runs. w is locked.
func (w *Writer) start() {
	if w.ended == nil {
		w.ended = make(chan struct{})
		go w.run(w.ended)
	}
}

// run writes until nothing waits.
func (w *Writer) run(ended chan struct{}) {
	defer close(ended)
	for l, ok := w.next(); ok; l, ok = w.next() {
		if _, err := w.out.Write(l.text); err != nil {
			w.fail(l)
		}
	}
}

// next returns what is to be written next, or false if nothing waits; run ends then.
func (w *Writer) next() (line, bool) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if l, ok := w.nextReport(); ok {
		return l, true
	}
	switch {
	case w.nothingWaits():
		w.flushing, w.ended = false, nil
		w.scheduleReport()
		return line{}, false
	case w.warningIsNext():
		return w.warnings.pop(), true
	}
	return w.others.pop(), true
}

// nothingWaits reports whether no line waits. w is locked.
func (w *Writer) nothingWaits() bool { return w.warnings.empty() && w.others.empty() }

// warningIsNext reports whether the next line is at the warning level or above. w is locked, and a line waits.
func (w *Writer) warningIsNext() bool {
	if w.warnings.empty() || w.others.empty() {
		return w.others.empty()
	}
	return w.flushing || w.warnings.first().number < w.others.first().number
}

// nextReport returns the report of the losses if there are any and it is due: reportInterval after the last one, or at the end of
// Flush. w is locked.
func (w *Writer) nextReport() (line, bool) {
	e := w.flushing && w.nothingWaits()
	if w.report == nil || !w.losses.any() || !e && time.Since(w.reportedAt) < reportInterval {
		return line{}, false
	}
	w.reportedAt = time.Now()
	w.flushing = w.flushing && !e
	t, err := w.report(w.losses)
	if err != nil {
		return line{}, false
	}
	l := line{text: t, losses: w.losses}
	w.losses = newLosses()
	return l, true
}

// scheduleReport makes run write the next report even if no line follows. w is locked.
func (w *Writer) scheduleReport() {
	if w.report != nil && w.losses.any() && w.timer == nil {
		w.timer = time.AfterFunc(time.Until(w.reportedAt.Add(reportInterval)), w.wake)
	}
}

// wake starts the goroutine that writes because a report is due.
func (w *Writer) wake() {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.timer = nil
	w.start()
}

// fail counts a line that couldn't be written. What a report told is told again.
func (w *Writer) fail(l line) {
	w.lock.Lock()
	defer w.lock.Unlock()
	if l.losses.any() {
		w.losses.add(l.losses)
		return
	}
	w.drop(l.level)
}

// Flush waits until nothing is left to be written, at most flushTimeout, and reports what was lost. Warnings are written before the
// other lines meanwhile. Lines that come later are written as long as the process lives.
func (w *Writer) Flush() {
	t := time.NewTimer(flushTimeout)
	defer t.Stop()
	select {
	case <-w.beginFlush():
	case <-t.C:
	}
}

// beginFlush returns a channel that is closed once nothing waits.
func (w *Writer) beginFlush() <-chan struct{} {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.flushing = true
	w.start()
	return w.ended
}
