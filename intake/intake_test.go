package intake_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/intake"
)

const kib = 1 << 10

// arriving is a request that has taken memory and gives it back once it is dropped, as one whose connection fails.
type arriving struct {
	share   *intake.Share
	dropped bool
}

// arrive returns a request from an address that has taken a number of bytes.
func arrive(t *testing.T, a *intake.Account, address string, bytes int64) *arriving {
	t.Helper()
	r := &arriving{}
	r.share = a.Open(intake.Options{Address: address, Drop: func() {
		r.dropped = true
		r.share.Close()
	}})
	r.share.Receive(int(bytes))
	if err := r.share.Take(bytes); err != nil {
		t.Fatal(err)
	}
	return r
}

// causeOf returns why a request was dropped.
func causeOf(err error) intake.Cause {
	var d *intake.DroppedError
	if errors.As(err, &d) {
		return d.Cause
	}
	return intake.Kept
}

// Guards against newcomers that are refused, or requests that still arrive that are dropped, in place of one that has stalled.
func TestCrowdThatStallsIsDroppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		a := intake.NewAccount(intake.Limits{Bytes: 300 * kib})
		s, l := arrive(t, a, "1", 100*kib), arrive(t, a, "2", 100*kib)
		time.Sleep(2 * time.Second)
		l.share.Receive(1)
		n := arrive(t, a, "3", 150*kib)
		i.True(s.dropped)
		i.True(!l.dropped)
		i.Equal(causeOf(s.share.Dropped()), intake.Stalled)
		i.NoErr(n.share.Complete())
		i.Equal(a.Taken(), int64(250*kib))
	})
}

// Guards against fast bodies that are dropped in place of those that come a byte at a time.
func TestCrowdThatTricklesIsDroppedFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		a := intake.NewAccount(intake.Limits{Bytes: 300 * kib})
		s, f := arrive(t, a, "1", 100*kib), arrive(t, a, "2", 100*kib)
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			s.share.Receive(1)
			f.share.Receive(10 * kib)
		}
		arrive(t, a, "3", 150*kib)
		i.True(s.dropped)
		i.True(!f.dropped)
		i.Equal(causeOf(s.share.Dropped()), intake.Slow)
	})
}

// Guards against a crowd that begins at once and keeps a small newcomer from being served.
func TestCrowdOfNewBodiesLeavesRoomForSmallOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		a := intake.NewAccount(intake.Limits{Bytes: 300 * kib})
		l, m := arrive(t, a, "1", 160*kib), arrive(t, a, "1", 140*kib)
		n := arrive(t, a, "1", 4*kib)
		i.True(l.dropped)
		i.True(!m.dropped)
		i.Equal(causeOf(l.share.Dropped()), intake.Large)
		i.NoErr(n.share.Complete())
	})
}

// Guards against a request that runs, and is dropped or has its memory taken, and against waiting without end for it.
func TestCrowdOfWholeBodiesIsNotDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		a := intake.NewAccount(intake.Limits{Bytes: 300 * kib})
		w := arrive(t, a, "1", 250*kib)
		i.NoErr(w.share.Complete())
		time.Sleep(time.Minute)
		n := a.Open(intake.Options{Address: "2"})
		defer n.Close()
		i.Equal(causeOf(n.Take(100*kib)), intake.NoRoom)
		i.True(!w.dropped)
		w.share.Close()
		i.NoErr(a.Open(intake.Options{Address: "2"}).Take(100 * kib))
	})
}

// Guards against one address, or one client account, that takes all memory or has others dropped for it.
func TestCrowdOfOneAddressOrAccountLeavesRoomForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		a := intake.NewAccount(intake.Limits{Bytes: 400 * kib, AddressBytes: 200 * kib, OwnerBytes: 100 * kib})
		o := arrive(t, a, "other", 150*kib)
		i.NoErr(o.share.Complete())
		time.Sleep(time.Second)
		f := arrive(t, a, "1", 150*kib)
		time.Sleep(100 * time.Millisecond)
		g := arrive(t, a, "1", 100*kib) // beyond the share of the address
		i.True(f.dropped)
		i.Equal(a.Taken(), int64(250*kib))
		g.share.SetOwner("t")
		i.Equal(a.TakenBy("t"), int64(100*kib))
		h := a.Open(intake.Options{Address: "2", Drop: func() {}})
		h.SetOwner("t")
		i.NoErr(g.share.Complete())
		i.Equal(causeOf(h.Take(4*kib)), intake.NoRoom)
		i.Equal(causeOf(a.Open(intake.Options{Address: "3"}).Take(201*kib)), intake.NoRoom) // nobody is dropped for one that can't fit
	})
}

// Guards against waiting without end for a dropped request whose connection doesn't end.
func TestDroppedRequestThatKeepsItsMemoryIsNotAwaitedForever(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		a := intake.NewAccount(intake.Limits{Bytes: 100 * kib})
		i.NoErr(a.Open(intake.Options{Drop: func() {}}).Take(100 * kib))
		time.Sleep(2 * time.Second)
		i.Equal(causeOf(a.Open(intake.Options{}).Take(50*kib)), intake.NoRoom)
	})
}

// Guards against bodies that are changed by being kept in pieces, or that take memory other than what is counted.
func TestBodiesAreKeptWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		i := is.New(t)
		n := rapid.IntRange(0, 300*kib).Draw(t, "length")
		b := bytes.Repeat([]byte("0123456789abcde"), n/15+1)[:n]
		r := io.Reader(bytes.NewReader(b))
		if rapid.Bool().Draw(t, "end with the last bytes") {
			r = iotest.DataErrReader(r)
		}
		l := int64(n)
		if rapid.Bool().Draw(t, "chunked") {
			l = -1
		}
		a := intake.NewAccount(intake.Limits{Bytes: 1 << 20})
		s := a.Open(intake.Options{})
		p, err := s.ReadBody(r, l)
		i.NoErr(err)
		i.True(bytes.Equal(bytes.Join(p, nil), b))
		m := int64(0)
		for _, v := range p {
			m += int64(cap(v))
		}
		i.True(m <= a.Taken())
		i.True(l < 0 || m == l)
		s.Close()
		i.Equal(a.Taken(), int64(0))
	})
}
