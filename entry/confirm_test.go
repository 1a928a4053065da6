package entry_test

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/clock"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/entry"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/table"
)

const (
	// denialBound is how long ago a table has to have been the newest to deny requests.
	denialBound = 600 * time.Millisecond
	// lateReply is the time that a late reply takes.
	lateReply = time.Second
	// badDocument is a configuration that can't be decoded.
	badDocument = "bad"
)

// documentControl is a control host that hands out a configuration. Each reply is changed by a function, which gets the version that the
// entry host holds.
type documentControl struct {
	reply func(known int64, n *ctlrpc.ExchangeReply)
}

func (c documentControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	n.Current, n.Sure = true, true
	if q.Known.TableVersion == 0 {
		n.TableVersion, n.Document = 1, []byte("1")
	} else {
		time.Sleep(waitingReply)
	}
	c.reply(q.Known.TableVersion, n)
	return nil
}

// refusalSink records why a request was refused.
type refusalSink struct{ reason relay.Reason }

func (s *refusalSink) Begin(int, http.Header, int64) {}

func (s *refusalSink) Write([]byte) error { return nil }

func (s *refusalSink) Refuse(r relay.Refusal) { s.reason = r.Reason }

func (s *refusalSink) Abort() {}

// startDenying starts an entry host with one control host and returns its relay.
func startDenying(t *testing.T, c documentControl, suspended clock.Source) (*entry.Entry, *relay.Relay) {
	t.Helper()
	p := listenService(t, c, 0, 0)
	e, r := newEntry(hostOptions{port: p, seeds: []string{slowAddress(0) + ":1"}, decode: decodeUnlessBad, applyTime: denialBound, suspended: suspended})
	t.Cleanup(e.Stop)
	return e, r
}

// decodeUnlessBad returns the first version of a table without routes.
func decodeUnlessBad(d []byte) (table.Table, error) {
	if string(d) == badDocument {
		return table.Table{}, errors.New("the document is bad")
	}
	return table.Table{Version: 1}, nil
}

// Guards against hosts that deny requests for good by a table that may not be the newest: only the reply of a control host that is current
// and has caught up says so, only if its configuration was put in force, and only for the time at which it was asked.
func TestOnlyCurrentControlHostConfirmsTable(t *testing.T) {
	var u atomic.Int64 // the time in suspension in ns, in one of the cases
	for n, c := range map[string]struct {
		reply     func(known int64, n *ctlrpc.ExchangeReply)
		denies    bool
		suspended clock.Source
	}{
		"current":     {func(int64, *ctlrpc.ExchangeReply) {}, true, nil},
		"no leader":   {func(_ int64, n *ctlrpc.ExchangeReply) { n.Current = false }, false, nil},
		"not sure":    {func(_ int64, n *ctlrpc.ExchangeReply) { n.Sure = false }, false, nil},
		"old state":   {func(_ int64, n *ctlrpc.ExchangeReply) { n.Position.Age = 2 * denialBound }, false, nil},
		"late reply":  {func(int64, *ctlrpc.ExchangeReply) { time.Sleep(lateReply) }, false, nil},
		"bad version": {giveBad, false, nil},
		"suspended":   {func(int64, *ctlrpc.ExchangeReply) { u.Add(int64(lateReply)) }, false, func() time.Duration { return time.Duration(u.Load()) }},
	} {
		t.Run(n, func(t *testing.T) {
			t.Parallel()
			i := is.New(t)
			e, r := startDenying(t, documentControl{c.reply}, c.suspended)
			i.True(getsReady(e)) // it has the configuration
			time.Sleep(2 * denialBound)
			f := map[relay.Reason]int{}
			for b := time.Now(); time.Since(b) < 2*lateReply; time.Sleep(10 * time.Millisecond) {
				var s refusalSink
				r.Serve(context.Background(), &relay.Request{ID: "1", Host: "h", Path: "/none", Received: time.Now()}, &s)
				f[s.reason]++
			}
			t.Log(f)
			i.Equal(f[relay.NoRoute] > 0, c.denies)
			i.True(c.denies || f[relay.Unconfirmed] > 0) // the caller may come back
		})
	}
}

// giveBad replies with a newer configuration that can't be decoded to a host that has the first one.
func giveBad(known int64, n *ctlrpc.ExchangeReply) {
	if known > 0 {
		n.TableVersion, n.Document = 2, []byte(badDocument)
	}
}

// badControl is a control host that hands out a configuration that can't be decoded after the first one, as soon as it is asked by a host
// that doesn't hold it.
type badControl struct{ exchanges *atomic.Int64 }

func (c badControl) Exchange(q ctlrpc.ExchangeRequest, n *ctlrpc.ExchangeReply) error {
	c.exchanges.Add(1)
	n.Current, n.Sure = true, true
	switch q.Known.TableVersion {
	case 0:
		n.TableVersion, n.Document = 1, []byte("1")
	case 1:
		n.TableVersion, n.Document = 2, []byte(badDocument)
	default:
		time.Sleep(waitingReply)
	}
	return nil
}

// Guards against entry hosts that ask for a configuration that they can't decode again and again without a pause, and against those that
// then deny requests for good by the one before it.
func TestConfigurationThatCantBeDecodedIsSentOnce(t *testing.T) {
	i := is.New(t)
	c := badControl{&atomic.Int64{}}
	var b lockedBuffer
	e, r := newEntry(hostOptions{port: listenService(t, c, 0, 0), seeds: []string{slowAddress(0) + ":1"}, decode: decodeUnlessBad, applyTime: denialBound, log: &b})
	i.True(getsReady(e))
	time.Sleep(2 * denialBound)
	var s refusalSink
	r.Serve(context.Background(), &relay.Request{ID: "1", Host: "h", Path: "/none", Received: time.Now()}, &s)
	e.Stop()
	time.Sleep(2 * waitingReply)
	n := b.count("can't be decoded")
	t.Logf("%d exchanges, %d lines", c.exchanges.Load(), n)
	i.True(c.exchanges.Load() <= 2+int64(2*denialBound/waitingReply)+2)
	i.Equal(n, 1)
	i.Equal(s.reason, relay.Unconfirmed)
}
