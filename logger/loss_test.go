package logger_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/logger"
)

// output is where lines go. It blocks while the gate is closed, and each write takes the given time.
type output struct {
	gate chan struct{}
	took time.Duration
	lock sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(b []byte) (int, error) {
	<-o.gate
	time.Sleep(o.took)
	o.lock.Lock()
	defer o.lock.Unlock()
	return o.text.Write(b)
}

// logLine is what the tests look at in a line.
type logLine struct {
	Message string            `json:"msg"`
	ID      string            `json:"id"`
	Dropped map[string]uint64 `json:"dropped"`
	Limited map[string]uint64 `json:"limited"`
}

// lines returns the lines that were written, and those of them that report losses.
func (o *output) lines(i *is.I) (own, losses []logLine) {
	o.lock.Lock()
	defer o.lock.Unlock()
	for t := range strings.Lines(o.text.String()) {
		var l logLine
		i.NoErr(json.Unmarshal([]byte(t), &l))
		if l.Message == "log: lines were dropped or left out" {
			losses = append(losses, l)
			continue
		}
		own = append(own, l)
	}
	return own, losses
}

// flood logs lines below the warning level, a number of them each second, with IDs in their order.
func flood(l *logrus.Logger, seconds, each int) {
	for s := range seconds {
		for k := range each {
			l.WithField("id", fmt.Sprint("info-", s*each+k)).Info("request: served")
		}
		time.Sleep(time.Second)
	}
}

// idsWith returns the IDs with a prefix, in the order of their lines.
func idsWith(lines []logLine, prefix string) []string {
	var r []string
	for _, l := range lines {
		if strings.HasPrefix(l.ID, prefix) {
			r = append(r, l.ID)
		}
	}
	return r
}

// Guards against lost warnings: lines below the warning level that wait to be written take no room from them, and the order of
// what is written is that in which it was logged.
func TestWarningsAreKeptUnderFloodOfOtherLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		o := &output{gate: make(chan struct{})}
		w := logger.NewWriter(o)
		l := logger.NewLogger(w, "info", "h", metrics.NewSet())
		flood(l, 8, 400)
		for k := range 100 {
			l.WithField("id", fmt.Sprint("warning-", k)).Warn("request: the answer ends early")
		}
		close(o.gate)
		synctest.Wait()
		own, _ := o.lines(i)
		i.Equal(len(idsWith(own, "warning-")), 100)
		n := idsWith(own, "info-")
		i.True(len(n) > 1000 && len(n) < 2500)
		i.Equal(own[len(own)-1].ID, "warning-99")
		i.True(isAscending(idsWith(own, "warning-")))
		i.True(isAscending(n))
	})
}

// isAscending reports whether the numbers at the end of IDs rise.
func isAscending(ids []string) bool {
	p := -1
	for _, v := range ids {
		var n int
		_, t, _ := strings.Cut(v, "-")
		if _, err := fmt.Sscan(t, &n); err != nil || n <= p {
			return false
		}
		p = n
	}
	return true
}

// Guards against memory without bound, and against a process that waits, when nothing reads the warnings.
func TestWarningsThatWaitAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		o := &output{gate: make(chan struct{})}
		w := logger.NewWriter(o)
		l := logger.NewLogger(w, "info", "h", metrics.NewSet())
		for range 5000 {
			l.WithField("cause", strings.Repeat("x", 2000)).Warn("attempt: the endpoint failed")
			l.WithField("cause", strings.Repeat("x", 2000)).Warn("short")
		}
		close(o.gate)
		w.Flush()
		i.True(w.Dropped() > 0)
		i.True(o.text.Len() <= 3<<20)
	})
}

// Guards against losses that only metrics count: a line says how many lines of which level are missing, at most once a second.
func TestLossesAreReportedByLevel(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		o := &output{gate: make(chan struct{})}
		w := logger.NewWriter(o)
		l := logger.NewLogger(w, "debug", "h", metrics.NewSet())
		flood(l, 8, 400)
		for range 5000 {
			l.Warn("warning")
		}
		l.Debug("debug") // the limit leaves it out
		close(o.gate)
		flood(l, 4, 1000)
		time.Sleep(1500 * time.Millisecond) // the last losses are reported though no other line follows
		own, r := o.lines(i)
		n := map[string]uint64{}
		for _, v := range r {
			for k, d := range v.Dropped {
				n["dropped "+k] += d
			}
			for k, d := range v.Limited {
				n["limited "+k] += d
			}
		}
		i.True(len(r) >= 2 && len(r) <= 6)
		i.True(n["dropped warning"] > 0)
		i.True(n["dropped info"] > 0)
		i.True(n["limited info"] > 0)
		i.True(n["limited debug"]+n["dropped debug"] == 1)
		all := uint64(len(own))
		for _, d := range n {
			all += d
		}
		i.Equal(all, uint64(8*400+5000+1+4*1000)) // every line was written or is reported as lost
	})
}

// Guards against losses that nobody hears of because the process ends.
func TestFlushReportsLosses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		o := &output{gate: make(chan struct{})}
		close(o.gate)
		w := logger.NewWriter(o)
		l := logger.NewLogger(w, "info", "h", metrics.NewSet())
		for range 2000 {
			l.Info("plain")
		}
		w.Flush()
		own, r := o.lines(i)
		n := uint64(0)
		for _, v := range r {
			n += v.Limited["info"] + v.Dropped["info"]
		}
		i.Equal(uint64(len(own))+n, uint64(2000))
	})
}

// Guards against lost lines of requests that end after the planned stop has flushed the log and before the process has ended.
func TestLinesAfterFlushAreWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		o := &output{gate: make(chan struct{})}
		close(o.gate)
		w := logger.NewWriter(o)
		l := logger.NewLogger(w, "info", "h", metrics.NewSet())
		l.Info("before")
		w.Flush()
		l.WithField("id", "a").Warn("after")
		w.Flush()
		own, _ := o.lines(i)
		i.Equal(idsWith(own, "a"), []string{"a"})
	})
}

// Guards against warnings that are lost at the end of the process because other lines wait before them and the reader is slow.
func TestFlushWritesWarningsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		o := &output{gate: make(chan struct{}), took: time.Millisecond}
		w := logger.NewWriter(o)
		l := logger.NewLogger(w, "info", "h", metrics.NewSet())
		flood(l, 3, 400)
		for k := range 20 {
			l.WithField("id", fmt.Sprint("warning-", k)).Warn("request: the answer ends early")
		}
		close(o.gate)
		b := time.Now()
		w.Flush()
		i.True(time.Since(b) < time.Second)
		own, _ := o.lines(i)
		i.Equal(len(idsWith(own, "warning-")), 20)
		synctest.Wait()
		time.Sleep(time.Minute) // the other lines are written as long as the process lives
	})
}
