package itest_test

import (
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/itest"
)

// connectTime is within what time processes have connected to each other.
const connectTime = 10 * time.Second

// Guards against faults that reach the wrong link, since the mesh takes the connection of one process for that of another.
func TestMeshKnowsWhoseConnectionsItCarries(t *testing.T) {
	d := itest.StartMeshedDeployment(t, binary, 3, 1)
	for _, p := range append(d.Control, d.Entry...) {
		awaitConnections(t, d, p, true)
	}
	for _, p := range append(d.Control[2:], d.Entry...) {
		d.Kill(p)
		awaitConnections(t, d, p, false)
	}
}

// awaitConnections waits until a process has connections to or from control hosts, or has none.
func awaitConnections(t *testing.T, d *itest.Deployment, p *itest.Process, some bool) {
	t.Helper()
	itest.Eventually(t, connectTime, func() error {
		n := 0
		for _, c := range d.Control {
			n += d.Mesh.Connections(p, c) + d.Mesh.Connections(c, p)
		}
		if n > 0 != some {
			return fmt.Errorf("%d connections of %s", n, p.Name)
		}
		return nil
	})
}

// trickleInterval is the interval at which bytes are sent on a connection that loses packets. The kernel sends what was lost again within
// the round trips of later ones, and else at intervals that double.
const trickleInterval = 10 * time.Millisecond

// trickle sends bytes on a connection until it fails.
type trickle struct{ conn net.Conn }

func (w trickle) run() {
	for {
		if _, err := w.conn.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(trickleInterval)
	}
}

// Guards against faults that do nothing, or lose all packets where a share is asked for.
func TestLosePackets(t *testing.T) {
	i := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	defer l.Close() //nolint:errcheck // nothing depends on it
	a, err := net.Dial("tcp", l.Addr().String())
	i.NoErr(err)
	b, err := l.Accept()
	i.NoErr(err)
	i.NoErr(itest.LosePackets(b, 1))
	defer a.Close() //nolint:errcheck // ends what is sent
	go trickle{a}.run()
	i.NoErr(b.SetReadDeadline(time.Now().Add(300 * time.Millisecond)))
	_, err = b.Read(make([]byte, 1))
	i.True(err != nil) // everything is lost
	i.NoErr(itest.LosePackets(b, 0.5))
	i.NoErr(b.SetReadDeadline(time.Now().Add(20 * time.Second)))
	_, err = io.ReadFull(b, make([]byte, 1))
	i.NoErr(err) // a retransmission comes through
}

// Guards against plays whose connections go silent by name only: processes would never have to find that out by themselves.
func TestSilencedConnectionsAreReplaced(t *testing.T) {
	d := itest.StartMeshedDeployment(t, binary, 1, 1)
	c, e := d.Control[0], d.Entry[0]
	awaitConnections(t, d, e, true)
	n := d.Mesh.Accepted(e, c)
	d.Mesh.Silence(e, c)
	itest.Eventually(t, connectTime, func() error {
		if d.Mesh.Accepted(e, c) == n {
			return fmt.Errorf("%s opens no new connection", e.Name)
		}
		return nil
	})
}
