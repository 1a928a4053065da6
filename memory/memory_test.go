package memory_test

import (
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/memory"
)

// fill appends to buffers of an owner, 64 KiB each, until the account is full.
func fill(t *testing.T, a *memory.Account, owner string) ([]*memory.Buffer, *memory.FullError) {
	t.Helper()
	var r []*memory.Buffer
	for {
		b := a.NewBuffer(owner)
		r = append(r, b)
		if err := b.Append(make([]byte, 64<<10)); err != nil {
			var f *memory.FullError
			if !errors.As(err, &f) {
				t.Fatal(err)
			}
			return r, f
		}
	}
}

// Guards against one endpoint that uses up what all others have, and against a sum above the process's share.
func TestAccountBoundsOwnersAndSum(t *testing.T) {
	i := is.New(t)
	a := memory.NewAccount(64) // an eighth is 8 MiB, a quarter of that 2 MiB
	l, f := fill(t, a, "a")
	i.True(f.Own)
	i.True(a.Taken() <= 2<<20)
	for _, n := range []string{"b", "c", "d", "e"} {
		k, g := fill(t, a, n)
		f = g
		l = append(l, k...)
	}
	i.True(!f.Own || a.Taken() <= 8<<20)
	i.True(a.Taken() <= 8<<20)
	i.True(a.Taken() > 6<<20)
	i.NoErr(a.NewBuffer("f").Append(make([]byte, 1000))) // small answers aren't counted
	for _, b := range l {
		b.Release()
	}
	i.Equal(a.Taken(), int64(0))
}

// Guards against bytes that are lost when the account has no room while an answer is read.
func TestFillLeavesTheRestUnread(t *testing.T) {
	i := is.New(t)
	a := memory.NewAccount(64)
	l, _ := fill(t, a, "a")
	s := strings.Repeat("0123456789", 20_000)
	r := strings.NewReader(s)
	b := a.NewBuffer("a")
	var f *memory.FullError
	i.True(errors.As(b.Fill(r, 1<<20), &f))
	o, err := io.ReadAll(r)
	i.NoErr(err)
	i.Equal(string(b.Bytes())+string(o), s)
	b.Release()
	for _, b := range l {
		b.Release()
	}
	c := a.NewBuffer("a")
	i.NoErr(c.Fill(strings.NewReader(s), 1<<20))
	i.Equal(string(c.Bytes()), s)
	c.Clear()
	i.Equal(a.Taken(), int64(0)) // grown storage is given back
	i.NoErr(c.Fill(strings.NewReader(s), 1000))
	i.Equal(string(c.Bytes()), s[:1000])
}

// Guards against a bound where there is no account.
func TestNoAccountHasNoBound(t *testing.T) {
	i := is.New(t)
	var a *memory.Account
	b := a.NewBuffer("a")
	i.NoErr(b.Append(make([]byte, 100<<20)))
	b.Release()
	i.Equal(a.Taken(), int64(0))
}

func BenchmarkSmallEvents(b *testing.B) {
	f := memory.NewAccount(64).NewBuffer("a")
	e := make([]byte, 200)
	for b.Loop() {
		if err := f.Append(e); err != nil {
			b.Fatal(err)
		}
		f.Clear()
	}
}
