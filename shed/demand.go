package shed

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// reportEvery is how often a host reports its demand, and is told that of the fleet. It is short against the age up to which that is used.
	reportEvery = time.Second
	// maxAccounts bounds the client accounts that a message names for a service.
	maxAccounts = 12
)

// Demand is the work that was asked for in about the last second, in seconds of an endpoint's slot, by client account and by priority. The
// zero value stands for no knowledge.
type Demand struct {
	Accounts   map[string]float64
	Priorities map[int]float64
	// Rest is the work of further accounts, and RestAccounts their number.
	Rest         float64
	RestAccounts int
}

// Plus returns the sum of two demands. Further accounts are taken to be the same.
func (d Demand) Plus(o Demand) Demand {
	return Demand{
		Accounts: plus(d.Accounts, o.Accounts), Priorities: plus(d.Priorities, o.Priorities),
		Rest: d.Rest + o.Rest, RestAccounts: max(d.RestAccounts, o.RestAccounts),
	}
}

// plus returns the sums of two maps.
func plus[K comparable](a, b map[K]float64) map[K]float64 {
	r := make(map[K]float64, len(a)+len(b))
	maps.Copy(r, a)
	for k, v := range b {
		r[k] += v
	}
	return r
}

// clone returns a copy that shares nothing.
func (d Demand) clone() Demand { return d.Plus(Demand{}) }

// Bounded returns the demand with at most a number of accounts by name, those with most work.
func (d Demand) Bounded(accounts int) Demand {
	r := d.clone()
	if len(d.Accounts) <= accounts {
		return r
	}
	l := slices.SortedFunc(maps.Keys(d.Accounts), func(a, b string) int {
		switch {
		case d.Accounts[a] > d.Accounts[b]:
			return -1
		case d.Accounts[a] < d.Accounts[b]:
			return 1
		}
		return 0
	})
	for _, a := range l[accounts:] {
		r.Rest += r.Accounts[a]
		delete(r.Accounts, a)
	}
	r.RestAccounts = max(r.RestAccounts, len(l)-accounts)
	return r
}

// Total returns the sum of the work.
func (d Demand) Total() (n float64) {
	for _, v := range d.Priorities {
		n += v
	}
	return n
}

// FairShare returns the work of a client account up to which all of it is admitted if the share mean of all work is: accounts that ask for
// less get all that they ask for, and the others an equal amount of what is left. ok is false if no account asks for more.
func (d Demand) FairShare(mean float64) (work float64, ok bool) {
	l := d.groups()
	var t float64
	n := 0
	for _, g := range l {
		t += g.work * float64(g.accounts)
		n += g.accounts
	}
	left := mean * t
	for _, g := range l {
		f := left / float64(n)
		if g.work > f {
			return f, true
		}
		left -= g.work * float64(g.accounts)
		n -= g.accounts
	}
	return 0, false
}

// group is a number of accounts with the same work each.
type group struct {
	work     float64
	accounts int
}

// groups returns the accounts, those with least work first. Further accounts are one group, since a message may name any number of them.
func (d Demand) groups() []group {
	l := make([]group, 0, len(d.Accounts)+1)
	for _, v := range d.Accounts {
		l = append(l, group{v, 1})
	}
	if d.RestAccounts > 0 {
		l = append(l, group{d.Rest / float64(d.RestAccounts), d.RestAccounts})
	}
	slices.SortFunc(l, func(a, b group) int { return cmp.Compare(a.work, b.work) })
	return l
}

// accountShare returns the share of an account's work that is admitted if that of all work is mean.
func (d Demand) accountShare(account string, mean float64) float64 {
	if len(d.Accounts)+d.RestAccounts < 2 {
		return mean
	}
	v, known := d.Accounts[account]
	if !known && d.RestAccounts > 0 {
		v = d.Rest / float64(d.RestAccounts)
	}
	f, ok := d.FairShare(mean)
	if !ok || v <= f {
		return 1
	}
	return f / v
}

// priorityShare returns the share of a priority's work that is admitted if that of all work is mean: each keeps leastShare of the mean, and
// what is left is given to the most urgent first.
func (d Demand) priorityShare(priority int, mean float64) float64 {
	if d.Priorities[priority] <= 0 {
		return mean
	}
	least := leastShare * mean
	left := (mean - least) * d.Total()
	for _, p := range slices.Sorted(maps.Keys(d.Priorities)) {
		v := d.Priorities[p]
		n := min(v*(1-least), left)
		if p == priority {
			return least + n/v
		}
		left -= n
	}
	return least
}
