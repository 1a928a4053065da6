// Package accept keeps a host accepting connections: an error of the system, such as one for want of descriptors, ends no server.
package accept

import (
	"errors"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"
)

const (
	// leastPause and mostPause bound the pause after a failure, which doubles with each one in a row. Connections wait in the queue of
	// the system meanwhile.
	leastPause = 5 * time.Millisecond
	mostPause  = 100 * time.Millisecond
	// quietTime is how long no call may fail until a series of failures is over.
	quietTime = time.Second
)

// Options holds what a Listener depends on. All fields are required.
type Options struct {
	// Listener is the one whose errors are passing unless it was closed. Its Accept returns net.ErrClosed then.
	Listener net.Listener
	// Name says in logs and metrics who connects.
	Name    string
	Log     *logrus.Logger
	Metrics *metrics.Set
}

// Listener is a listener whose Accept fails only once it was closed. It is safe for concurrent use.
type Listener struct {
	net.Listener
	log      *logrus.Entry
	failures *metrics.Counter
	closed   chan struct{}
	once     sync.Once

	lock   sync.Mutex
	series series
}

// series is a number of failures of which each came less than quietTime after the one before.
type series struct {
	count       int
	first, last time.Time
}

// NewListener returns a listener that takes its connections from another one.
func NewListener(o Options) *Listener {
	return &Listener{
		Listener: o.Listener, log: o.Log.WithFields(logrus.Fields{"from": o.Name, "address": o.Listener.Addr().String()}),
		failures: o.Metrics.GetOrCreateCounter(`accept_failures_total{from="` + o.Name + `"}`), closed: make(chan struct{}),
	}
}

// Accept waits for a connection, however often the system fails meanwhile. It returns net.ErrClosed once the listener was closed.
func (l *Listener) Accept() (net.Conn, error) {
	for p := leastPause; ; p = min(2*p, mostPause) {
		c, err := l.Listener.Accept()
		if err == nil {
			l.recordSuccess(time.Now())
			return c, nil
		}
		if errors.Is(err, net.ErrClosed) {
			return nil, err
		}
		l.recordFailure(err, time.Now())
		if !l.wait(p) {
			return nil, net.ErrClosed
		}
	}
}

// wait waits for a time. It returns false if the listener is closed before its end.
func (l *Listener) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-l.closed:
		return false
	}
}

// Close closes the listener. Waiting calls of Accept return.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return l.Listener.Close()
}

// recordFailure counts a failure and logs the first one of a series.
func (l *Listener) recordFailure(err error, now time.Time) {
	l.failures.Inc()
	l.lock.Lock()
	defer l.lock.Unlock()
	l.endSeries(now)
	if l.series.count == 0 {
		l.series.first = now
		l.log.WithError(err).Warn("listener: a connection can't be accepted, it is tried again")
	}
	l.series.count++
	l.series.last = now
}

// recordSuccess logs the end of a series if it is over.
func (l *Listener) recordSuccess(now time.Time) {
	l.lock.Lock()
	defer l.lock.Unlock()
	l.endSeries(now)
}

// endSeries logs the end of a series of failures if the last one is quietTime ago.
func (l *Listener) endSeries(now time.Time) {
	s := l.series
	if s.count == 0 || now.Sub(s.last) < quietTime {
		return
	}
	l.series = series{}
	l.log.WithFields(logrus.Fields{"failures": s.count, "over": s.last.Sub(s.first).Milliseconds()}).Info("listener: connections are accepted again")
}
