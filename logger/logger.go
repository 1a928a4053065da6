// Package logger writes structured log lines asynchronously. Logging never blocks the process: lines wait in bounded queues, and a
// line for which there is no room is dropped. Lines at the warning level or above have room of their own and aren't rate limited. A
// line reports how many others were lost.
package logger

import (
	"io"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

// NewLogger returns a logger that writes JSON lines with the name of the host to w. Lines below the warning level
// are rate limited. The set gets the counter log_lines_limited_total of the lines left out by the limit and the
// gauge log_lines_dropped of the lines that w dropped. An unknown level means "info".
func NewLogger(w *Writer, level, host string, set *metrics.Set) *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard) // the hook passes the lines on, since a formatter can't tell the writer their level
	l.SetFormatter(noFormatter{})
	f := &logrus.JSONFormatter{TimestampFormat: "15:04:05.000"}
	l.AddHook(&writerHook{writer: w, formatter: f, host: host, limited: set.NewCounter("log_lines_limited_total")})
	w.setReport(lossReport{l, f, host}.line)
	set.NewGauge("log_lines_dropped", func() float64 { return float64(w.Dropped()) })
	if v, err := logrus.ParseLevel(level); err == nil {
		l.SetLevel(v)
	}
	return l
}

// noFormatter formats nothing.
type noFormatter struct{}

// Format returns no text.
func (noFormatter) Format(*logrus.Entry) ([]byte, error) { return nil, nil }

// writerHook formats each line that the rate limit lets through, with the name of the host, and passes it to a Writer.
type writerHook struct {
	writer    *Writer
	formatter logrus.Formatter
	host      string
	limit     rateLimit
	limited   *metrics.Counter
}

// Levels returns all levels: the hook applies to every line.
func (h *writerHook) Levels() []logrus.Level { return logrus.AllLevels }

// Fire formats the entry and queues it, or counts it as left out. Only formatting can fail.
func (h *writerHook) Fire(e *logrus.Entry) error {
	if e.Level > logrus.WarnLevel && !h.limit.allow(e.Time.Unix()) {
		h.limited.Inc()
		h.writer.leaveOut(e.Level)
		return nil
	}
	e.Data["host"] = h.host
	b, err := h.formatter.Format(e)
	if err != nil {
		return err
	}
	h.writer.writeLine(e.Level, b)
	return nil
}
