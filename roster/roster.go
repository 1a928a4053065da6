// Package roster holds the addresses at which a host may find control hosts, and who has named them.
package roster

import "slices"

// maxHeard bounds the addresses that are kept beside members and seeds.
const maxHeard = 16

// Roster is a set of addresses of control hosts. It is an immutable value; the zero value holds none. An address that was named once is
// kept for as long as there is room, so that no list, however old or short, makes a host forget all others.
type Roster struct {
	// members are those that a current control host named last: the members of the control log. They are sorted and replaced as a whole.
	members []string
	// seeds are those of the settings.
	seeds []string
	// heard are those that others named, or that were members or seeds before, the newest first. No address of members or seeds is in it.
	heard []string
}

// WithMembers returns the roster after a current control host has named the members of the control log. An empty list changes nothing.
func (r Roster) WithMembers(l []string) Roster {
	if len(l) == 0 || slices.Equal(l, r.members) {
		return r
	}
	o := r.members
	r.members = slices.Clone(l)
	return r.withHeard(o)
}

// WithSeeds returns the roster with the seeds of newer settings. An empty list changes nothing.
func (r Roster) WithSeeds(l []string) Roster {
	if len(l) == 0 || slices.Equal(l, r.seeds) {
		return r
	}
	o := r.seeds
	r.seeds = slices.Clone(l)
	return r.withHeard(o)
}

// WithHeard returns the roster after others, which may know less than this host, have named control hosts.
func (r Roster) WithHeard(l []string) Roster {
	if !slices.ContainsFunc(l, func(a string) bool { return !r.Has(a) }) {
		return r
	}
	return r.withHeard(l)
}

// withHeard puts addresses first among those that were heard.
func (r Roster) withHeard(l []string) Roster {
	var n []string
	for _, a := range slices.Concat(l, r.heard) {
		if !slices.Contains(r.members, a) && !slices.Contains(r.seeds, a) && !slices.Contains(n, a) {
			n = append(n, a)
		}
	}
	r.heard = n[:min(len(n), maxHeard)]
	return r
}

// Has reports whether an address is known.
func (r Roster) Has(address string) bool {
	return slices.Contains(r.members, address) || slices.Contains(r.seeds, address) || slices.Contains(r.heard, address)
}

// Members returns the members of the control log, or the seeds while none are known. The result must not be changed.
func (r Roster) Members() []string {
	if len(r.members) == 0 {
		return r.seeds
	}
	return r.members
}

// All returns all addresses, the members first.
func (r Roster) All() []string {
	var n []string
	for _, a := range slices.Concat(r.members, r.seeds, r.heard) {
		if !slices.Contains(n, a) {
			n = append(n, a)
		}
	}
	return n
}
