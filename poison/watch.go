package poison

import (
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxWatched bounds the keys that entry hosts watch.
	maxWatched = 128
	// maxWatchChanges bounds the keys in one WatchUpdate, those to watch and those to forget each.
	maxWatchChanges = 32
)

// WatchedKey is a key that some ends of endpoints count against. Entry hosts say when requests with it are served.
type WatchedKey struct {
	// Sum is the hash of the key, and Head that of its head if it is a Request.
	Sum, Head uint64
	// Suspect is set if it is a Request that has ended as many endpoints as a verdict needs at least.
	Suspect bool
}

// sum returns the hash of a key.
func (k Key) sum() uint64 { return xxhash.Sum64String(k.String()) }

// watched returns the key as entry hosts watch it. crashes is the number of those that count against it.
func (k Key) watched(crashes int) WatchedKey {
	w := WatchedKey{Sum: k.sum()}
	if k.Kind == Request {
		w.Head, w.Suspect = k.headKey().sum(), crashes >= thresholds[Request].crashes
	}
	return w
}

// Watch is a set of watched keys. It is an immutable value.
type Watch struct {
	// keys holds the keys, those with the most crashes first.
	keys []WatchedKey
	// index holds the same keys by Sum. It is never changed in place.
	index map[uint64]WatchedKey
}

// WatchUpdate holds changes of a Watch.
type WatchUpdate struct {
	// New is set if Added holds the first keys of a host that watches none.
	New     bool
	Added   []WatchedKey
	Removed []uint64
}

// newWatch returns the set of some keys, which are in order.
func newWatch(keys []WatchedKey) Watch {
	w := Watch{keys: keys, index: make(map[uint64]WatchedKey, len(keys))}
	for _, k := range keys {
		w.index[k.Sum] = k
	}
	return w
}

// Watched returns the keys that entry hosts have to watch: those without a verdict that several ends count against.
func (s State) Watched() Watch {
	var l []Key
	for k, c := range s.cases {
		if c.Verdict == 0 && c.countWithout(Crash.isServed) >= watchedCrashes {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(a, b Key) int { return s.compareWeight(b, a) })
	var r []WatchedKey
	for _, k := range l[:min(len(l), maxWatched)] {
		r = append(r, k.watched(s.cases[k].count()))
	}
	return newWatch(r)
}

// Equal reports whether two sets hold the same keys.
func (w Watch) Equal(o Watch) bool {
	if len(w.keys) != len(o.keys) {
		return false
	}
	for _, k := range w.keys {
		if o.index[k.Sum] != k {
			return false
		}
	}
	return true
}

// ChangesFrom returns what has to change in another set to make it this one, the keys with the most crashes first. If there
// is more than an update may hold, the rest is left for the next one.
func (w Watch) ChangesFrom(o Watch) WatchUpdate {
	var u WatchUpdate
	for _, k := range w.keys {
		if len(u.Added) < maxWatchChanges && o.index[k.Sum] != k {
			u.Added = append(u.Added, k)
		}
	}
	for _, k := range o.keys {
		if _, ok := w.index[k.Sum]; !ok && len(u.Removed) < maxWatchChanges {
			u.Removed = append(u.Removed, k.Sum)
		}
	}
	return u
}

// Empty reports whether the update changes nothing.
func (u WatchUpdate) Empty() bool { return !u.New && len(u.Added) == 0 && len(u.Removed) == 0 }

// With returns the set after an update.
func (w Watch) With(u WatchUpdate) Watch {
	if u.Empty() {
		return w
	}
	r := slices.Clone(u.Added)
	for _, k := range w.keys {
		if !u.New && !slices.Contains(u.Removed, k.Sum) && !slices.ContainsFunc(u.Added, func(a WatchedKey) bool { return a.Sum == k.Sum }) {
			r = append(r, k)
		}
	}
	return newWatch(r)
}

// heads returns the hashes of the heads of the watched requests.
func (w Watch) heads() map[uint64]bool {
	m := map[uint64]bool{}
	for _, k := range w.keys {
		if k.Head != 0 {
			m[k.Head] = true
		}
	}
	return m
}
