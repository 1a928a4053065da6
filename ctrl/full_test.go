package ctrl_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
)

// fillDisk fills the disk of a host while the others go on. The host hears that its disk was read again only after more
// entries have come: events wait while it is busy.
func (c *cluster) fillDisk(a string, version int64) {
	b := c.hosts[a]
	b.full = true
	for k := range int64(4) {
		c.put(c.leader(), version+k)
		c.run(300 * time.Millisecond)
	}
	b.full = false
	s := b.stored
	for k := range int64(4) {
		c.put(c.leader(), version+4+k)
		c.run(20 * time.Millisecond)
	}
	is.New(c.t).Equal(len(s.Entries), len(b.stored.Entries)) // nothing was written meanwhile
	c.reopen(a)
	c.run(2 * time.Second)
}

// reopen tells a host the content of its disk, if a write has failed since it was last told.
func (c *cluster) reopen(a string) {
	if b := c.hosts[a]; b.failed {
		b.failed = false
		c.reduce(a, ctrl.DiskReopened{State: b.stored, Generation: b.generation})
	}
}

// Guards against changes that are refused for good, though all hosts run: the disks of the control hosts are full one after
// the other, and each acknowledges entries that it then forgets.
func TestDisksFullInTurnLeaveTheLogWritable(t *testing.T) {
	for first := range 3 {
		t.Run(fmt.Sprint("from host ", first), func(t *testing.T) {
			i := is.New(t)
			messageQueue = nil
			c := newCluster(t, 3)
			c.run(3 * time.Second)
			v := int64(1)
			for k := range 6 {
				c.fillDisk(address((first+k)%3), v)
				v += 10
				i.Equal(c.put(address(0), v).Status, ctlrpc.Accepted)
				c.run(time.Second)
				for n := range 3 {
					i.Equal(c.hosts[address(n)].state.StateMachine.Document.Version, v)
					i.Equal(len(c.hosts[address(n)].stored.Entries), c.hosts[address(n)].state.Log.EntryCount()) // the disk holds what the log does
				}
			}
		})
	}
}
