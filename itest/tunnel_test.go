package itest_test

import (
	"fmt"
	"net"
	"os/exec"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/itest"
)

// forker starts processes that end at once, until stop is closed.
type forker struct {
	stop  chan struct{}
	group *sync.WaitGroup
}

func (f forker) run() {
	defer f.group.Done()
	for {
		select {
		case <-f.stop:
			return
		default:
			_ = exec.Command("true").Run() // only its start matters
		}
	}
}

// Guards against a tunnel that doesn't open again: a process that is being started holds the sockets that its parent has
// closed, for a moment.
func TestTunnelOpensWhileProcessesStart(t *testing.T) {
	i := is.New(t)
	u := itest.NewTunnel(t, "127.9.9.1", "127.9.9.2", "127.9.9.3")
	var ports []int
	for range 12 {
		l, err := net.Listen("tcp", "127.9.9.3:0")
		i.NoErr(err)
		defer l.Close() //nolint:errcheck // the test ends
		p := l.Addr().(*net.TCPAddr).Port
		ports = append(ports, p)
		u.AddPort(p)
	}
	f := forker{make(chan struct{}), &sync.WaitGroup{}}
	for range 8 {
		f.group.Add(1)
		go f.run()
	}
	for range 12 {
		u.Set(itest.Silent)
		time.Sleep(20 * time.Millisecond)
		u.Set(itest.Open)
	}
	close(f.stop)
	f.group.Wait()
	for _, p := range ports {
		c, err := net.DialTimeout("tcp", fmt.Sprint("127.9.9.1:", p), time.Second)
		i.NoErr(err)
		_ = c.Close() // nothing was sent
	}
}
