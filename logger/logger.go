// Package logger holds an asynchronous writer of log lines that never holds up the process: lines wait in a
// bounded queue, and those that find it full are dropped and counted.
package logger

import (
	"io"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// queueCapacity is how many lines may wait for the writer.
	queueCapacity = 2048
	// linesPerSecond and burstLines bound the lines below the level of a warning.
	linesPerSecond = 400
	burstLines     = 800
	// flushTimeout bounds the wait for the last lines at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// Writer is a writer with a bounded queue.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// NewWriter returns a spool that writes to out.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues a copy of the line, or drops it where the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that found the queue full.
func (w *Writer) Dropped() uint64 { return w.dropped.Load() }

func (w *Writer) run() {
	defer close(w.done)
	for b := range w.lines {
		if b == nil { // Flush was called
			return
		}
		if _, err := w.out.Write(b); err != nil {
			w.dropped.Add(1)
		}
	}
}

// Flush writes the waiting lines, for a limited time. The spool takes no lines after it.
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

// NewLogger returns a logger of structured lines onto a spool. Lines below a warning are bounded in number;
// the metrics count those that were left out.
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

// hostHook names the host in each line.
type hostHook struct{ host string }

// Levels returns all levels.
func (h hostHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire adds the host.
func (h hostHook) Fire(e *logrus.Entry) error {
	e.Data["host"] = h.host
	return nil
}

// limitFormatter bounds the number of lines below a warning. logrus calls it from one goroutine at a time only
// where the caller locks, so its fields are atomic.
type limitFormatter struct {
	next       logrus.Formatter
	lastSecond atomic.Int64
	burst      int64
	recent     atomic.Int64
	limited    *metrics.Counter
}

// Format returns the line, or nothing where too many were written within this second.
func (f *limitFormatter) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level <= logrus.WarnLevel || f.allow(e.Time.Unix()) {
		return f.next.Format(e)
	}
	f.limited.Inc()
	return nil, nil
}

func (f *limitFormatter) allow(second int64) bool {
	if o := f.lastSecond.Swap(second); o != second {
		f.recent.Store(max(0, f.recent.Load()-linesPerSecond*max(1, second-o)))
	}
	return f.recent.Add(1) <= f.burst
}
