package model

import (
	"slices"
	"strings"
)

// Revision is the number of a configuration; each accepted change increases it by one.
type Revision uint64

// Version is a declared version of a model.
type Version struct {
	// Name is unique among versions, such as "fitting-small@3".
	Name  string       `json:"name"`
	State VersionState `json:"state"`
	// Cost is the operators' own cost of running the version.
	Cost Price `json:"cost"`
	// Trusted is set for versions that were in use before the router was introduced. While there is little
	// evidence about them, they get a larger share of traffic than new versions do.
	Trusted bool `json:"trusted"`
	// Replicas is the number of endpoints in each data centre on which the router keeps the live version loaded;
	// if 0, the router doesn't manage the replicas of the live version.
	Replicas int `json:"replicas"`
}

// Check returns a *Fault if a field is invalid, and nil otherwise.
func (v Version) Check() error {
	if v.Name == "" {
		return fault("name", "is empty", "name the version like \"fitting-small@3\"")
	}
	if v.Replicas < 0 {
		return fault("replicas", "is negative", "give the number of endpoints in each data centre, or 0")
	}
	if v.Cost.InputMicros < 0 || v.Cost.OutputMicros < 0 {
		return fault("cost", "is negative", "give millionths of the currency per 1,000 tokens")
	}
	return nil
}

// Member is an entry host that the operators list as part of the system.
type Member struct {
	// Name is unique among members.
	Name       string `json:"name"`
	DataCentre string `json:"data-centre"`
	// Address is the IP and port at which the host listens for other hosts.
	Address string `json:"address"`
	// Voter is true for hosts with a disk, which store the control log and vote.
	Voter bool `json:"voter"`
}

// Check returns a *Fault if a field is empty, and nil otherwise.
func (m Member) Check() error {
	if m.Name == "" || m.DataCentre == "" || m.Address == "" {
		return fault("member", "lacks a name, a data centre or an address", "give all three")
	}
	return nil
}

// Config is the configuration at one revision. Its slices are sorted by name (contracts by customer) and never
// modified after creation, so that copies may share them.
type Config struct {
	Revision  Revision   `json:"revision"`
	Contracts []Contract `json:"contracts"`
	Versions  []Version  `json:"versions"`
	Members   []Member   `json:"members"`
}

// upsert returns a copy of list, which is sorted by key, in which value replaces the element with the same key
// or is inserted.
func upsert[T any](list []T, value T, key func(T) string) []T {
	i, ok := slices.BinarySearchFunc(list, key(value), func(t T, k string) int { return strings.Compare(key(t), k) })
	r := slices.Clone(list)
	if ok {
		r[i] = value
		return r
	}
	return slices.Insert(r, i, value)
}

// search returns the element with the given key from list, which is sorted by key.
func search[T any](list []T, name string, key func(T) string) (T, bool) {
	i, ok := slices.BinarySearchFunc(list, name, func(t T, k string) int { return strings.Compare(key(t), k) })
	if !ok {
		var z T
		return z, false
	}
	return list[i], true
}

func contractKey(c Contract) string { return c.Customer }
func versionKey(v Version) string   { return v.Name }
func memberKey(m Member) string     { return m.Name }

// WithRevision returns a copy with the given revision.
func (c Config) WithRevision(revision Revision) Config {
	c.Revision = revision
	return c
}

// WithContract returns a copy with the contract, which replaces the customer's previous one.
func (c Config) WithContract(contract Contract) Config {
	c.Contracts = upsert(c.Contracts, contract, contractKey)
	return c
}

// WithVersion returns a copy with the version, which replaces one of the same name.
func (c Config) WithVersion(version Version) Config {
	c.Versions = upsert(c.Versions, version, versionKey)
	return c
}

// WithMember returns a copy with the member, which replaces one of the same name.
func (c Config) WithMember(member Member) Config {
	c.Members = upsert(c.Members, member, memberKey)
	return c
}

// WithoutMember returns a copy without the named member.
func (c Config) WithoutMember(name string) Config {
	c.Members = slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool { return m.Name == name })
	return c
}

// Contract returns the contract of a customer, and whether there is one.
func (c Config) Contract(customer string) (Contract, bool) {
	return search(c.Contracts, customer, contractKey)
}

// Version returns the version of the given name, and whether it is declared.
func (c Config) Version(name string) (Version, bool) { return search(c.Versions, name, versionKey) }

// Member returns the member of the given name, and whether there is one.
func (c Config) Member(name string) (Member, bool) { return search(c.Members, name, memberKey) }

// ContractByKeyHash returns the contract that lists the hash of a bearer key, and whether there is one.
func (c Config) ContractByKeyHash(keyHash string) (Contract, bool) {
	i := slices.IndexFunc(c.Contracts, func(t Contract) bool { return slices.Contains(t.KeyHashes, keyHash) })
	if i < 0 {
		return Contract{}, false
	}
	return c.Contracts[i], true
}

// DataCentres returns the sorted names of the members' data centres.
func (c Config) DataCentres() []string {
	var r []string
	for _, m := range c.Members {
		r = append(r, m.DataCentre)
	}
	slices.Sort(r)
	return slices.Compact(r)
}

// MembersIn returns the members of one data centre.
func (c Config) MembersIn(dataCentre string) []Member {
	return slices.DeleteFunc(slices.Clone(c.Members), func(m Member) bool { return m.DataCentre != dataCentre })
}
