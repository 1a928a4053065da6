package entry

import (
	"errors"
	"net"

	"github.com/hickoryshelf/hickoryshelf/dial"
)

// ErrNoControl is the error of connecting when no control host is known.
var ErrNoControl = errors.New("no control host is known; set seeds to the addresses of control hosts")

// opening opens a connection to one address. It sends its result unless another opening was first.
type opening struct {
	address string
	results chan<- opened
	done    <-chan struct{}
}

// opened is the result of an opening.
type opened struct {
	address string
	conn    net.Conn
	err     error
}

func (o opening) run() {
	c, err := dial.Connect(o.address)
	select {
	case o.results <- opened{o.address, c, err}:
	case <-o.done:
		if c != nil {
			_ = c.Close() // nothing was sent on the connection
		}
	}
}

// connectFirst connects to all addresses at the same time. It returns the first connection that opens, and otherwise
// the errors of all addresses.
func connectFirst(addresses []string) (address string, c net.Conn, err error) {
	r, d := make(chan opened), make(chan struct{})
	defer close(d)
	for _, a := range addresses {
		o := opening{a, r, d}
		go o.run()
	}
	var f []error
	for range addresses {
		o := <-r
		if o.err == nil {
			return o.address, o.conn, nil
		}
		f = append(f, o.err)
	}
	if len(f) == 0 {
		return "", nil, ErrNoControl
	}
	return "", nil, errors.Join(f...)
}
