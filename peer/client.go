// Package peer connects the entry hosts of a deployment with one another by net/rpc.
package peer

import (
	"crypto/tls"
	"fmt"
	"net"
	"net/rpc"
	"sync"
	"time"
)

const (
	// dialTimeout bounds the opening of a connection to a host, including the TLS handshake.
	dialTimeout = 700 * time.Millisecond
	// writeTimeout bounds each write to a connection between hosts.
	writeTimeout = time.Second
)

// TimeoutError reports a call that was sent but not answered in time. It is unknown whether the call took effect.
type TimeoutError struct {
	Method string
	After  time.Duration
}

// Error returns the method, the timeout and the remedy.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s got no answer within %s; it may have taken effect, retry it idempotently", e.Method, e.After)
}

// Client calls the methods of one host. It connects on the first call and reconnects after a failure. It is safe for
// concurrent use.
type Client struct {
	name    string
	address string
	tls     func() *tls.Config
	lock    sync.Mutex
	conn    *conn
	traffic *Traffic
}

// conn is a connection with its calls under way.
type conn struct {
	*rpc.Client
	calls int
	// retired is true once a call got no answer in time: new calls take another connection, and this one is closed after its
	// last call.
	retired bool
}

// NewClient returns a client for the named host at address. tls is called for each connection and returns nil for
// plain TCP; with TLS, the host's certificate must be valid for name. traffic counts the bytes of the connections.
func NewClient(name, address string, tls func() *tls.Config, traffic *Traffic) *Client {
	return &Client{name: name, address: address, tls: tls, traffic: traffic}
}

// Address returns the address that the client connects to.
func (c *Client) Address() string { return c.address }

// Call calls a method of peer.Service and waits up to timeout for the reply; opening a connection may take dialTimeout
// in addition. It returns a TimeoutError when no reply arrives in time, an rpc.ServerError for an error that the
// method returned, and another error when the connection failed. After a timeout or a failed connection, the next
// call reconnects; after a timeout, the calls under way go on.
func (c *Client) Call(method string, args, reply any, timeout time.Duration) error {
	r, err := c.take()
	if err != nil {
		return err
	}
	defer c.release(r)
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case d := <-r.Go("Peer."+method, args, reply, make(chan *rpc.Call, 1)).Done:
		if d.Error != nil {
			c.drop(r, d.Error)
		}
		return d.Error
	case <-t.C:
		c.retire(r)
		return &TimeoutError{Method: method, After: timeout}
	}
}

// take returns the open connection, or opens one, and counts a call on it. release ends the call.
func (c *Client) take() (*conn, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.conn == nil {
		n, err := c.dial()
		if err != nil {
			return nil, fmt.Errorf("connect to host at %s: %w; check that it runs and is reachable", c.address, err)
		}
		c.conn = &conn{Client: rpc.NewClient(c.traffic.wrap(n))}
	}
	c.conn.calls++
	return c.conn, nil
}

// release ends a call, and closes the connection if it is retired and has no other call.
func (c *Client) release(r *conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if r.calls--; r.retired && r.calls == 0 {
		_ = r.Close()
	}
}

// retire makes the next call open another connection.
func (c *Client) retire(r *conn) {
	c.lock.Lock()
	defer c.lock.Unlock()
	r.retired = true
	if c.conn == r {
		c.conn = nil
	}
}

// dial opens a TLS connection, or a TCP connection if tls returns nil.
func (c *Client) dial() (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if t := c.tls(); t != nil {
		t = t.Clone()
		t.ServerName = c.name
		return tls.DialWithDialer(d, "tcp", c.address, t)
	}
	return d.Dial("tcp", c.address)
}

// drop closes a failed connection, so that the next call opens another. If err was returned by the called method
// itself, the connection works and stays open.
func (c *Client) drop(r *conn, err error) {
	if _, ok := err.(rpc.ServerError); ok {
		return
	}
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.conn == r {
		c.conn = nil
	}
	_ = r.Close()
}

// Close closes the connection. A later call opens another.
func (c *Client) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
