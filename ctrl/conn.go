package ctrl

import (
	"errors"
	"fmt"
	"net/rpc"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
)

// ErrTimeout is returned by a call that got no reply within its timeout.
var ErrTimeout = errors.New("no reply within the timeout; the host is down, unreachable or overloaded")

// peerConn is a connection to a control host. It is opened at the first call.
type peerConn struct {
	host    *Host
	address string
	// purpose says in log lines what the connection is for.
	purpose string
	// shared is set if several calls may be under way. One that takes too long then doesn't close the connection, which fails
	// by itself if the other host is gone.
	shared bool

	lock   sync.Mutex
	client *rpc.Client
	// down is whether the last call failed.
	down bool
}

// connect returns the open connection or opens one.
func (k *peerConn) connect() (*rpc.Client, error) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.client != nil {
		return k.client, nil
	}
	c, err := dial.Connect(k.address)
	if err != nil {
		return nil, fmt.Errorf("connect to control host %s: %w; check that it is running", k.address, err)
	}
	k.client = rpc.NewClient(c)
	return k.client, nil
}

// disconnect closes the current connection if it is c, or whichever is open if c is nil.
func (k *peerConn) disconnect(c *rpc.Client) {
	k.lock.Lock()
	defer k.lock.Unlock()
	if k.client == nil || c != nil && k.client != c {
		return
	}
	if err := k.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		k.host.log.WithError(err).Debug("control: closing a connection failed")
	}
	k.client = nil
}

// begin calls a method of the Control RPC service and doesn't wait for the reply. The call comes on done when it has ended.
func (k *peerConn) begin(method string, args, reply any, done chan *rpc.Call) (*rpc.Call, error) {
	c, err := k.connect()
	if err != nil {
		k.recordResult(err)
		return nil, err
	}
	return c.Go(ctlrpc.ServiceName+"."+method, args, reply, done), nil
}

// call calls a method of the Control RPC service and waits for the reply, at most for timeout. It closes the connection
// after a transport error and, unless the connection is shared, after a timeout, but not after an error that the method
// itself returned.
func (k *peerConn) call(method string, args, reply any, timeout time.Duration) error {
	c, err := k.connect()
	if err != nil {
		k.recordResult(err)
		return err
	}
	t := time.NewTimer(timeout)
	defer t.Stop()
	d := c.Go(ctlrpc.ServiceName+"."+method, args, reply, make(chan *rpc.Call, 1))
	select {
	case <-d.Done:
		err = d.Error
	case <-t.C:
		err = ErrTimeout
	}
	var e rpc.ServerError
	if err != nil && !errors.As(err, &e) && !(k.shared && errors.Is(err, ErrTimeout)) {
		k.disconnect(c)
	}
	k.recordResult(err)
	return err
}

// recordResult records whether a call succeeded and logs a line when the host becomes unreachable or reachable.
func (k *peerConn) recordResult(err error) {
	k.lock.Lock()
	o := k.down
	k.down = err != nil
	k.lock.Unlock()
	l := k.host.log.WithFields(logrus.Fields{"control": k.address, "for": k.purpose})
	switch {
	case err != nil && !o:
		l.WithError(err).Warn("control: dependency lost, another control host")
	case err == nil && o:
		l.Info("control: dependency regained, another control host")
	}
}
