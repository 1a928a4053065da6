package logger_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/logger"
)

// A blocked reader of standard output must not block the process that logs: Write drops and counts lines, and Flush
// returns within its time limit.
func TestWriteDropsLinesWhenReaderStalls(t *testing.T) {
	i := is.New(t)
	_, w := io.Pipe()
	s := logger.NewWriter(w)
	b := time.Now()
	for range 10000 {
		_, err := s.Write([]byte("line\n"))
		i.NoErr(err)
	}
	i.True(time.Since(b) < time.Second)
	i.True(s.Dropped() > 5000)
	s.Flush() // nothing can be written, so Flush runs into its time limit
	i.True(time.Since(b) < 2*time.Second)
}

// Warnings pass while lines below the warning level are limited.
func TestLinesBelowWarningAreRateLimited(t *testing.T) {
	i := is.New(t)
	var b bytes.Buffer
	s := logger.NewWriter(&b)
	m := metrics.NewSet()
	l := logger.NewLogger(s, "info", "h1", m)
	for range 1500 {
		l.Info("plain")
	}
	l.Warn("important") // the empty lines that the formatter returned before must not end the writer
	s.Flush()
	n := strings.Count(b.String(), "plain")
	i.True(n < 1500)
	i.True(n >= 100)
	i.Equal(strings.Count(b.String(), "important"), 1)
	var v bytes.Buffer
	m.WritePrometheus(&v)
	i.True(strings.Contains(v.String(), "log_lines_limited_total"))
	i.True(strings.Contains(b.String(), `"host":"h1"`))
}
