package roster_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/roster"
)

// Guards against a host that forgets the control hosts that it reaches, since a list without them replaces the one that it has.
func TestNoListMakesAddressesForgotten(t *testing.T) {
	for n, f := range map[string]func(roster.Roster) roster.Roster{
		"members": func(r roster.Roster) roster.Roster { return r.WithMembers([]string{"gone"}) },
		"seeds":   func(r roster.Roster) roster.Roster { return r.WithSeeds([]string{"gone"}) },
		"heard":   func(r roster.Roster) roster.Roster { return r.WithHeard([]string{"gone"}) },
		"nothing": func(r roster.Roster) roster.Roster { return r.WithMembers(nil).WithSeeds(nil).WithHeard(nil) },
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			r := f(roster.Roster{}.WithSeeds([]string{"s1", "s2"}).WithMembers([]string{"m1", "m2"}).WithHeard([]string{"h1"}))
			for _, a := range []string{"s1", "s2", "m1", "m2", "h1"} {
				i.True(r.Has(a)) // each address that was known
			}
			l := slices.Sorted(slices.Values(r.All()))
			i.Equal(len(slices.Compact(l)), len(r.All())) // no address twice
		})
	}
}

func TestMembersAreThoseOfCurrentControlHost(t *testing.T) {
	i := is.New(t)
	r := roster.Roster{}.WithSeeds([]string{"s"})
	i.Equal(r.Members(), []string{"s"})
	r = r.WithHeard([]string{"h"})
	i.Equal(r.Members(), []string{"s"}) // others don't say who is a member
	r = r.WithMembers([]string{"a", "b"}).WithMembers([]string{"b", "c"})
	i.Equal(r.Members(), []string{"b", "c"})
	i.Equal(r.All(), []string{"b", "c", "s", "a", "h"})
}

// Guards against a list that grows with each control host that ever was.
func TestHeardAddressesAreBounded(t *testing.T) {
	i := is.New(t)
	r := roster.Roster{}.WithSeeds([]string{"s"}).WithMembers([]string{"m"})
	for k := range 100 {
		r = r.WithHeard([]string{fmt.Sprint("h", k)})
	}
	i.Equal(len(r.All()), 18)
	i.True(r.Has("h99") && r.Has("m") && r.Has("s"))
	i.True(!r.Has("h0"))
}
