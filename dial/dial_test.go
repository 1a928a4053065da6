package dial_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// TestLostOpeningPacketIsRepeatedAtOnce checks that a connection opens soon after its peer answers. The kernel would
// repeat a lost opening packet after a second, longer than many callers wait.
func TestLostOpeningPacketIsRepeatedAtOnce(t *testing.T) {
	i := is.New(t)
	s := itest.NewSilentSocket(t, [4]byte{127, 0, 0, 1}, 0)
	time.AfterFunc(20*time.Millisecond, s.Drain)
	b := time.Now()
	c, err := dial.Connect(s.Address)
	i.NoErr(err)
	i.True(time.Since(b) < 200*time.Millisecond)
	i.NoErr(c.Close())
}
