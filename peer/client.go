// Package peer carries messages between the system's own processes by net/rpc.
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
	dialTimeout  = 700 * time.Millisecond
	writeTimeout = time.Second
)

// TimeoutError reports a call that was sent and not answered in time: whether it took effect is unknown.
type TimeoutError struct {
	Method string
	After  time.Duration
}

// Error names the method and the remedy.
func (e *TimeoutError) Error() string {
	return fmt.Sprintf("%s got no answer within %s; it may have taken effect, retry it idempotently", e.Method, e.After)
}

// Client calls one host. It connects when it is first used, and again after a failure.
type Client struct {
	name    string
	address string
	tls     func() *tls.Config
	lock    sync.Mutex
	conn    *rpc.Client
	traffic *Traffic
}

// NewClient returns a client of the named host at address; tls may return nil for plain TCP. The host's
// certificate must carry its name.
func NewClient(name, address string, tls func() *tls.Config, traffic *Traffic) *Client {
	return &Client{name: name, address: address, tls: tls, traffic: traffic}
}

// Address returns the address that the client calls.
func (c *Client) Address() string { return c.address }

// Call calls a method and waits at most timeout for its answer.
func (c *Client) Call(method string, args, reply any, timeout time.Duration) error {
	r, err := c.connect()
	if err != nil {
		return err
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	select {
	case d := <-r.Go("Peer."+method, args, reply, make(chan *rpc.Call, 1)).Done:
		if d.Error != nil {
			c.drop(r, d.Error)
		}
		return d.Error
	case <-t.C:
		c.drop(r, nil)
		return &TimeoutError{Method: method, After: timeout}
	}
}

func (c *Client) connect() (*rpc.Client, error) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.conn != nil {
		return c.conn, nil
	}
	n, err := c.dial()
	if err != nil {
		return nil, fmt.Errorf("connect to host at %s: %w; check that it runs and is reachable", c.address, err)
	}
	c.conn = rpc.NewClient(c.traffic.wrap(n))
	return c.conn, nil
}

func (c *Client) dial() (net.Conn, error) {
	d := &net.Dialer{Timeout: dialTimeout}
	if t := c.tls(); t != nil {
		t = t.Clone()
		t.ServerName = c.name
		return tls.DialWithDialer(d, "tcp", c.address, t)
	}
	return d.Dial("tcp", c.address)
}

// drop closes a failed connection, so that the next call makes another. Errors that the method itself
// returned leave the connection as it is.
func (c *Client) drop(r *rpc.Client, err error) {
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

// Close closes the connection.
func (c *Client) Close() {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}
