package ctrl_test

import (
	"bytes"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// lockedBuffer is a buffer for concurrent use.
type lockedBuffer struct {
	lock   sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.lock.Lock()
	defer b.lock.Unlock()
	return b.buffer.String()
}

// slowLog delays the line that tells of a configuration in force, and with it the event loop that writes it.
type slowLog struct{ delay time.Duration }

func (s slowLog) Levels() []logrus.Level { return logrus.AllLevels }
func (s slowLog) Fire(e *logrus.Entry) error {
	if strings.Contains(e.Message, "configuration in force") {
		time.Sleep(s.delay)
	}
	return nil
}

// Guards against a control host that is behind its work and doesn't say so.
func TestHostThatIsBehindItsWorkSaysSo(t *testing.T) {
	i := is.New(t)
	var b lockedBuffer
	m := metrics.NewSet()
	startLeader(t, startOptions{Output: &b, Hooks: []logrus.Hook{slowLog{400 * time.Millisecond}}, Metrics: m})
	for range 60 {
		if strings.Contains(b.String(), "is behind its work") {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	i.True(strings.Contains(b.String(), "is behind its work"))
	i.True(strings.Contains(b.String(), "slowest-event=Persisted"))
	var w bytes.Buffer
	m.WritePrometheus(&w)
	i.True(strings.Contains(w.String(), "control_tick_late_seconds_bucket"))
}

// Guards against a control host whose disk stands and that doesn't say so before the write ends: a log that the disk holds up looks
// like one whose other hosts are silent.
func TestHostWhoseDiskStandsSaysSo(t *testing.T) {
	i := is.New(t)
	var b lockedBuffer
	m, d := metrics.NewSet(), t.TempDir()
	h := startLeader(t, startOptions{Output: &b, Folder: d, Metrics: m})
	f := itest.NewStandingFile(t, filepath.Join(d, "quorum.log"))
	h.Do(ctlrpc.Order{Verb: ctlrpc.Put, Version: 2, Document: []byte("{}")})
	for range 60 {
		if strings.Contains(b.String(), "a write to the data folder takes long") {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	s := b.String()
	f.Release()
	i.True(strings.Contains(s, "a write to the data folder takes long"))
	var w bytes.Buffer
	m.WritePrometheus(&w)
	i.True(strings.Contains(w.String(), "control_log_write_seconds_bucket"))
}
