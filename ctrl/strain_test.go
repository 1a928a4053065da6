package ctrl_test

import (
	"bytes"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
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
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer l.Close() //nolint:errcheck // the test ends
	p := l.Addr().(*net.TCPAddr).Port
	var b lockedBuffer
	g := logrus.New()
	g.SetOutput(&b)
	g.AddHook(slowLog{400 * time.Millisecond})
	s := conf.Node{Part: conf.PartControl, Name: "c", IP: "127.0.0.1", PeerPort: uint16(p), Seeds: []string{fmt.Sprint("127.0.0.1:", p)}, Bootstrap: true, DataFolder: t.TempDir()}
	s.Bounds.Heartbeat = conf.Duration(time.Second)
	m := metrics.NewSet()
	h, err := ctrl.NewHost(ctrl.HostOptions{Settings: s, Listener: l, Log: g, Metrics: m})
	i.NoErr(err)
	defer h.Stop()
	for h.Do(ctlrpc.Order{Verb: ctlrpc.Put, Version: 1, Document: []byte("{}")}).Status != ctlrpc.Accepted {
		time.Sleep(20 * time.Millisecond)
	}
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
