package poison

import "slices"

// Rule says which requests are held back: those with Key and all keys of With, of Account or of any account.
type Rule struct {
	Key Key
	// With holds the keys that can't be told from Key: all requests that count against it had them, and whatever counts
	// against it counts against them.
	With []Key
	// Account is the client account of all requests that count against Key. AnyAccount is set if they had several.
	Account    string
	AnyAccount bool
	// Crashes is the number of endpoints that ended.
	Crashes int
}

// Holds reports whether a request of an account with some keys is held back.
func (r Rule) Holds(keys []Key, account string) bool {
	if !r.AnyAccount && r.Account != account || !slices.Contains(keys, r.Key) {
		return false
	}
	for _, k := range r.With {
		if !slices.Contains(keys, k) {
			return false
		}
	}
	return true
}

// Rules returns the rules in force, in the order of their keys.
func (s State) Rules() []Rule {
	var l []Key
	for k, c := range s.cases {
		if c.InForce() {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, Key.compare)
	var r []Rule
	for _, k := range l {
		r = append(r, s.rule(k))
	}
	return r
}

// rule returns the rule of a key.
func (s State) rule(k Key) Rule {
	c := s.cases[k]
	r := Rule{Key: k, Crashes: c.count()}
	for _, o := range c.Beside {
		if s.cases[o].covers(c) {
			r.With = append(r.With, o)
		}
	}
	a, ok := c.account()
	r.Account, r.AnyAccount = a, !ok
	return r
}
