// Package logger writes structured log lines asynchronously. Logging never blocks the process: lines wait in a
// bounded queue, and a line is dropped and counted when the queue is full.
package logger

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// queueCapacity is the number of lines that may wait to be written.
	queueCapacity = 2048
	// linesPerSecond and burstLines are the sustained rate and the burst of lines below the warning level.
	linesPerSecond = 400
	burstLines     = 800
	// flushTimeout bounds the time that Flush waits for the queued lines at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// Writer passes lines to an underlying writer from a goroutine of its own, through a bounded queue.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewWriter returns a Writer that writes to out, and starts its goroutine. Flush ends the goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line, or drops the line when the queue is full. It never blocks or returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 { // logrus writes this for a line that the rate limit left out; its copy would be the nil marker of Flush
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of lines that were lost because the queue was full or writing failed.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

// run writes the queued lines until Flush queues its nil marker.
func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		if b == nil { // the marker of Flush
			return
		}
		if _, err := w.out.Write(b); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Flush waits until the queued lines are written, at most flushTimeout, and ends the goroutine. Lines that are
// queued after Flush aren't written.
func (w *Writer) Flush() {
	t := time.NewTimer(flushTimeout)
	defer t.Stop()
	select {
	case w.lines <- nil:
	case <-t.C:
		return
	}
	select {
	case <-w.done:
	case <-t.C:
	}
}

// NewLogger returns a logger that writes JSON lines with the name of the host to w. Lines below the warning level
// are rate limited. The set gets the counter log_lines_limited_total of the lines left out by the limit and the
// gauge log_lines_dropped of the lines that w dropped. An unknown level means "info".
func NewLogger(w *Writer, level, host string, set *metrics.Set) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(w)
	l.SetFormatter(&limitFormatter{
		next:  &logrus.JSONFormatter{TimestampFormat: "15:04:05.000"},
		burst: burstLines, limited: set.NewCounter("log_lines_limited_total"),
	})
	set.NewGauge("log_lines_dropped", func() float64 { return float64(w.Dropped()) })
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	l.AddHook(hostHook{host})
	return l
}

// hostHook adds the name of the host to each line.
type hostHook struct{ host string }

// Levels returns all levels: the hook applies to every line.
func (h hostHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire sets the field "host" of the entry.
func (h hostHook) Fire(e *logrus.Entry) error {
	e.Data["host"] = h.host
	return nil
}

// limitFormatter limits the rate of lines below the warning level with a leaky bucket. Its counters are atomic,
// because logrus serialises the calls of Format by a lock of the logger that a caller can turn off.
type limitFormatter struct {
	next       logrus.Formatter
	lastSecond atomic.Int64 // Unix time of the latest line below the warning level
	burst      int64        // number of recent lines up to which lines pass
	recent     atomic.Int64 // fill of the bucket: +1 per line, passed or not, and -linesPerSecond each second
	limited    *metrics.Counter
}

// Format formats the entry with the next formatter, or returns nothing where the entry exceeds the rate limit.
func (f *limitFormatter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level <= logrus.WarnLevel || f.allow(e.Time.Unix()) {
		return f.next.Format(e)
	}
	f.limited.Inc()
	return nil, nil
}

// allow reports whether a line in the given second, as Unix time, is within the rate limit, and counts the line.
func (f *limitFormatter) allow(second int64) bool {
	if o := f.lastSecond.Swap(second); o != second {
		f.recent.Store(max(0, f.recent.Load()-linesPerSecond*max(1, second-o)))
	}
	return f.recent.Add(1) <= f.burst
}
