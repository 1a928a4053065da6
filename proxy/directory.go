package proxy

import (
	"context"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
)

// directoryTimeout bounds the wait for the answer of another host.
const directoryTimeout = 500 * time.Millisecond

// AskDirectory asks an entry host at a peer address which control hosts it knows. It fails if no answer comes within directoryTimeout, and
// with a host of an earlier build.
func AskDirectory(address string) (ctlrpc.Directory, error) {
	var d ctlrpc.Directory
	x, f := context.WithTimeout(context.Background(), directoryTimeout)
	defer f()
	n, err := dial.ConnectContext(x, address)
	if err != nil {
		return d, err
	}
	defer n.Close() //nolint:errcheck // the answer was read
	if t, ok := x.Deadline(); ok {
		if err := n.SetDeadline(t); err != nil {
			return d, err
		}
	}
	if err := writeFrame(n, directoryFrame, nil); err != nil {
		return d, err
	}
	k, b, err := readFrame(newReader(n), maxHeadBytes)
	if err != nil {
		return d, err
	}
	if k != directoryFrame {
		return d, errFrame
	}
	err = decode(b, &d)
	return d, err
}

// tellDirectory answers which control hosts this host knows. It needs no token: who asks doesn't know this start of the host.
func (c *connection) tellDirectory() error {
	if c.server.Directory == nil {
		return errFrame
	}
	return writeJSON(c.conn, directoryFrame, c.server.Directory())
}
