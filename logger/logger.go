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
	// queueLines is how many lines may wait for the writer.
	queueLines = 2048
	// linesPerSecond and burstLines bound the lines below the level of a warning.
	linesPerSecond = 400
	burstLines     = 800
	// flushTimeout bounds the wait for the last lines at the end of the process.
	flushTimeout = 200 * time.Millisecond
)

// Spool is a writer with a bounded queue.
type Spool struct {
	out     io.Writer
	lines   chan []byte
	done    chan struct{}
	dropped atomic.Uint64
}

// New returns a spool that writes to out.
func New(out io.Writer) *Spool {
	s := &Spool{out: out, lines: make(chan []byte, queueLines), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a copy of the line, or drops it where the queue is full.
func (s *Spool) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped is the number of lines that found the queue full.
func (s *Spool) Dropped() uint64 { return s.dropped.Load() }

func (s *Spool) run() {
	defer close(s.done)
	for b := range s.lines {
		if b == nil { // Flush was called
			return
		}
		if _, err := s.out.Write(b); err != nil {
			s.dropped.Add(1)
		}
	}
}

// Flush writes the waiting lines, for a limited time. The spool takes no lines after it.
func (s *Spool) Flush() {
	t := time.NewTimer(flushTimeout)
	defer t.Stop()
	select {
	case s.lines <- nil:
	case <-t.C:
		return
	}
	select {
	case <-s.done:
	case <-t.C:
	}
}

// NewLogger returns a logger of structured lines onto a spool. Lines below a warning are bounded in number;
// the metrics count those that were left out.
func NewLogger(s *Spool, level, host string, set *metrics.Set) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(s)
	l.SetFormatter(&limited{
		next: &logrus.JSONFormatter{TimestampFormat: "15:04:05.000"},
		left: burstLines, skipped: set.NewCounter("log_lines_limited_total"),
	})
	set.NewGauge("log_lines_dropped", func() float64 { return float64(s.Dropped()) })
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

// limited bounds the number of lines below a warning. logrus calls it from one goroutine at a time only
// where the caller locks, so its fields are atomic.
type limited struct {
	next    logrus.Formatter
	second  atomic.Int64
	left    int64
	used    atomic.Int64
	skipped *metrics.Counter
}

// Format returns the line, or nothing where too many were written within this second.
func (f *limited) Format(e *logrus.Entry) ([]byte, error) {
	if e.Level <= logrus.WarnLevel || f.take(e.Time.Unix()) {
		return f.next.Format(e)
	}
	f.skipped.Inc()
	return nil, nil
}

func (f *limited) take(second int64) bool {
	if o := f.second.Swap(second); o != second {
		f.used.Store(max(0, f.used.Load()-linesPerSecond*max(1, second-o)))
	}
	return f.used.Add(1) <= f.left
}
