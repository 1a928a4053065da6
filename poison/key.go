// Package poison finds out which requests end the endpoints that run them, and says which requests to hold back. Entry
// hosts observe with an Observer what was in flight at endpoints that ended. Control hosts merge what all of them have
// observed into a State and judge it. The package uses no network and no clock: times are durations since an origin that
// the caller chooses.
package poison

import (
	"cmp"
	"fmt"
	"strings"
)

//go:generate go tool stringer -type=Kind -linecomment -output=enum_string.go

// Kind says what a Key identifies.
type Kind int

// Kinds of keys.
const (
	// Part is a part of a prompt that several requests may have in common.
	Part Kind = iota // part
	// Request is a request of a client account with a method, a host, a target and a body. It is the same request if the
	// caller sends it again under another ID.
	Request // request
	// kinds is the number of kinds.
	kinds
)

// Key identifies what requests have in common that may end an endpoint.
type Key struct {
	Kind Kind   `json:"kind"`
	ID   string `json:"id"`
}

// String returns the key as KIND:ID.
func (k Key) String() string { return k.Kind.String() + ":" + k.ID }

// compare orders keys by kind and ID.
func (k Key) compare(o Key) int {
	return cmp.Or(cmp.Compare(k.Kind, o.Kind), strings.Compare(k.ID, o.ID))
}

// Boot identifies one start of an endpoint.
type Boot struct {
	Endpoint string `json:"endpoint"`
	// Born is the Unix time of the start in milliseconds, or 0 if it is unknown.
	Born int64 `json:"born"`
}

// compare orders boots by endpoint and start.
func (b Boot) compare(o Boot) int {
	return cmp.Or(strings.Compare(b.Endpoint, o.Endpoint), cmp.Compare(b.Born, o.Born))
}

// ParseKey parses the form that String returns.
func ParseKey(text string) (Key, error) {
	n, i, ok := strings.Cut(text, ":")
	for k := Part; ok && k < kinds; k++ {
		if k.String() == n {
			return Key{Kind: k, ID: i}, nil
		}
	}
	return Key{}, fmt.Errorf("the key %q is unknown; give it as KIND:ID, for example part:5c1e07a2", text)
}
