package peer_test

import (
	"crypto/tls"
	"errors"
	"net"
	"net/rpc"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/peer"
)

// service is a host that answers some calls late.
type service struct {
	begun   chan struct{}
	release chan struct{}
}

// Propose answers once release is closed.
func (s *service) Propose(_ peer.Ack, r *peer.Ack) error {
	s.begun <- struct{}{}
	<-s.release
	r.OK = true
	return nil
}

// Status never answers in time.
func (s *service) Status(peer.Ack, *peer.Ack) error {
	time.Sleep(time.Minute)
	return nil
}

// Beat answers at once.
func (s *service) Beat(_ peer.Ack, r *peer.Ack) error {
	r.OK = true
	return nil
}

// counting is a listener that tells when its connections end.
type counting struct {
	net.Listener
	ended chan struct{}
}

func (l counting) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return counted{c, l.ended}, err
}

// counted signals that the other side has closed the connection.
type counted struct {
	net.Conn
	ended chan struct{}
}

func (c counted) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.ended <- struct{}{}
	}
	return n, err
}

// serving accepts the connections of a listener.
type serving struct {
	server   *rpc.Server
	listener net.Listener
}

func (s serving) run() { s.server.Accept(s.listener) }

// call is a call under way.
type call struct {
	client *peer.Client
	err    chan error
}

func (c call) run() {
	var r peer.Ack
	err := c.client.Call("Propose", peer.Ack{}, &r, 10*time.Second)
	if err == nil && !r.OK {
		err = errors.New("no reply")
	}
	c.err <- err
}

// TestTimeoutOfOneCallDoesNotBreakOthers guards against calls that fail, such as an operator's change that is being agreed on,
// because another call to the same host got no answer in time.
func TestTimeoutOfOneCallDoesNotBreakOthers(t *testing.T) {
	i := is.New(t)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	l := counting{n, make(chan struct{}, 10)}
	defer n.Close() //nolint:errcheck // the test is over
	s := &service{begun: make(chan struct{}, 1), release: make(chan struct{})}
	v := serving{rpc.NewServer(), l}
	i.NoErr(v.server.RegisterName("Peer", s))
	go v.run()
	c := peer.NewClient("host", n.Addr().String(), func() *tls.Config { return nil }, &peer.Traffic{})
	defer c.Close()
	p := call{c, make(chan error, 1)}
	go p.run()
	<-s.begun
	var late *peer.TimeoutError
	i.True(errors.As(c.Call("Status", peer.Ack{}, &peer.Ack{}, 50*time.Millisecond), &late))
	i.NoErr(c.Call("Beat", peer.Ack{}, &peer.Ack{}, 10*time.Second)) // on another connection
	i.Equal(len(l.ended), 0)                                         // the call under way keeps its connection
	close(s.release)
	i.NoErr(<-p.err)
	select {
	case <-l.ended: // the connection is closed after its last call
	case <-time.After(10 * time.Second):
		t.Fatal("the connection stays open")
	}
	i.NoErr(c.Call("Beat", peer.Ack{}, &peer.Ack{}, 10*time.Second))
}
