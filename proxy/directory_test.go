package proxy_test

import (
	"net"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus/hooks/test"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/proxy"
)

// startDirectory starts a server that tells what it knows of control hosts, or one that doesn't, and returns its address.
func startDirectory(t *testing.T, tell func() ctlrpc.Directory) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	g, _ := test.NewNullLogger()
	s := proxy.NewServer(proxy.Options{Token: "secret", Directory: tell, Log: g, Metrics: metrics.NewSet(), Stopping: func() bool { return false }})
	v := serving{s, l}
	go v.run()
	t.Cleanup(func() {
		_ = l.Close() // the test is over
		s.Close()
	})
	return l.Addr().String()
}

// Guards against hosts without a token that are told nothing: who has lost all control hosts knows no token of this start.
func TestHostTellsControlHostsWithoutToken(t *testing.T) {
	i := is.New(t)
	w := ctlrpc.Directory{Controls: []string{"127.0.0.1:7", "127.0.0.2:7"}, Table: 28, CurrentAgeMS: 150}
	a := startDirectory(t, func() ctlrpc.Directory { return w })
	for range 3 {
		d, err := proxy.AskDirectory(a)
		i.NoErr(err)
		i.Equal(d, w)
	}
}

// Guards against a search that waits for a host that is gone, silent, of an earlier build, or not a host at all.
func TestQuestionForControlHostsEndsInTime(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // nothing accepts
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close() //nolint:errcheck // nothing depends on it
	for n, a := range map[string]string{"earlier build": startDirectory(t, nil), "silent": l.Addr().String(), "gone": "127.0.0.1:1"} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			b := time.Now()
			_, err := proxy.AskDirectory(a)
			i.True(err != nil)
			i.True(time.Since(b) < 2*time.Second)
		})
	}
}
