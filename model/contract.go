// Package model holds the immutable values of the router's domain: contracts, versions, members,
// endpoints and the configuration made of them.
package model

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Duration is a time.Duration that reads and writes as text such as "400ms".
type Duration time.Duration

// MarshalText writes the duration as text.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration such as "400ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration; write it like \"400ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// ClassTerms is what a contract asks for one task class.
type ClassTerms struct {
	// Class is unique within a contract.
	Class string `json:"class"`
	// Quality is the agreed mean rating, between 0 and 1.
	Quality float64 `json:"quality"`
	// FirstToken bounds the time to the first token; 0 means no bound.
	FirstToken Duration `json:"first-token"`
	// Priority orders the customer's own requests, and lets interactive ones use reserved capacity.
	Priority Priority `json:"priority"`
	// RunsOnce marks completions that must run at most once; they need an idempotency key.
	RunsOnce bool `json:"runs-once"`
	// Judge has answers rated before they are delivered, where the rating service has room; those rated too
	// low are run again on another version. The first token then comes with the whole answer.
	Judge bool `json:"judge"`
	// MaxWait bounds the time in the router's queue; 0 means DefaultMaxWait.
	MaxWait Duration `json:"max-wait"`
}

// DefaultMaxWait bounds the time in the queue where a class states no bound.
const DefaultMaxWait = 10 * time.Second

// QueueTimeout returns the bound on the time in the queue.
func (t ClassTerms) QueueTimeout() time.Duration {
	if t.MaxWait == 0 {
		return DefaultMaxWait
	}
	return t.MaxWait.Std()
}

// Price is what a customer pays, in millionths of the billing currency per 1,000 tokens.
type Price struct {
	InputMicros  int64 `json:"input-micros"`
	OutputMicros int64 `json:"output-micros"`
}

// Amount returns the amount for a usage, in millionths of the billing currency, rounded up.
func (p Price) Amount(usage Usage) int64 {
	t := p.InputMicros*usage.InputTokens + p.OutputMicros*usage.OutputTokens
	return (t + 999) / 1000
}

// Usage counts the tokens of one request.
type Usage struct {
	InputTokens  int64 `json:"input-tokens"`
	OutputTokens int64 `json:"output-tokens"`
}

// Service is a plain service that a customer may call under a path prefix.
type Service struct {
	// Prefix begins and ends with "/" and is unique within a contract.
	Prefix string `json:"prefix"`
	// Name is what the service's endpoints announce that they hold.
	Name string `json:"name"`
	// NonRepeatable lists paths below the prefix whose calls run at most once.
	NonRepeatable []string `json:"non-repeatable"`
}

// Contract is everything that binds one customer. No limit lives elsewhere.
type Contract struct {
	// Customer is unique among contracts.
	Customer string `json:"customer"`
	// KeyHashes are hex SHA-256 sums of bearer keys; no key stands in two contracts.
	KeyHashes []string `json:"key-hashes"`
	// Versions are the allowed versions by name.
	Versions []string `json:"versions"`
	// Classes has at least one entry; the first is used when a request names none.
	Classes []ClassTerms `json:"classes"`
	// Share is the customer's weight in the shared capacity, at least 1.
	Share    int       `json:"share"`
	CutOff   CutOff    `json:"cut-off"`
	Price    Price     `json:"price"`
	Services []Service `json:"services"`
	// MaxOutputTokens bounds one answer, at least 1.
	MaxOutputTokens int `json:"max-output-tokens"`
}

// HashKey returns the form in which a bearer key is stored.
func HashKey(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// Allows reports whether the contract allows the version.
func (c Contract) Allows(version string) bool { return slices.Contains(c.Versions, version) }

// Terms returns the terms of a class; the empty class means the contract's first.
func (c Contract) Terms(class string) (ClassTerms, bool) {
	if class == "" && len(c.Classes) > 0 {
		return c.Classes[0], true
	}
	i := slices.IndexFunc(c.Classes, func(t ClassTerms) bool { return t.Class == class })
	if i < 0 {
		return ClassTerms{}, false
	}
	return c.Classes[i], true
}

// Service returns the service whose prefix matches the path.
func (c Contract) Service(path string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return strings.HasPrefix(path, s.Prefix) })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// RunsOnce reports whether calls of the path must run at most once.
func (s Service) RunsOnce(path string) bool {
	r := strings.TrimPrefix(path, s.Prefix)
	return slices.ContainsFunc(s.NonRepeatable, func(p string) bool { return r == strings.TrimPrefix(p, "/") })
}

// Check returns an error that names the field, the fault and the remedy.
func (c Contract) Check() error {
	switch {
	case c.Customer == "":
		return fault("customer", "is empty", "name the customer")
	case len(c.KeyHashes) == 0:
		return fault("key-hashes", "is empty", "add the hex SHA-256 of a bearer key")
	case c.Share < 1:
		return fault("share", "is below 1", "give a weight of 1 or more")
	case c.MaxOutputTokens < 1:
		return fault("max-output-tokens", "is below 1", "give the longest answer in tokens")
	case len(c.Classes) == 0 && len(c.Versions) > 0:
		return fault("classes", "is empty", "name at least one task class and its quality")
	}
	for _, k := range c.KeyHashes {
		if b, err := hex.DecodeString(k); err != nil || len(b) != sha256.Size {
			return fault("key-hashes", "has an entry that is no SHA-256 sum", "use the output of `hickoryshelf key hash`")
		}
	}
	return c.checkClassesAndServices()
}

func (c Contract) checkClassesAndServices() error {
	for i, t := range c.Classes {
		if t.Class == "" || t.Quality < 0 || t.Quality > 1 {
			return fault(fmt.Sprintf("classes[%d]", i), "lacks a name or has a quality outside 0 to 1", "correct it")
		}
		if slices.ContainsFunc(c.Classes[:i], func(o ClassTerms) bool { return o.Class == t.Class }) {
			return fault(fmt.Sprintf("classes[%d]", i), "repeats a class", "keep one entry for each class")
		}
	}
	for i, s := range c.Services {
		if !strings.HasPrefix(s.Prefix, "/") || !strings.HasSuffix(s.Prefix, "/") || s.Name == "" {
			return fault(fmt.Sprintf("services[%d]", i), "lacks a name or a prefix between slashes", "write a prefix like \"/desk/\"")
		}
		if strings.HasPrefix(s.Prefix, "/v1/") {
			return fault(fmt.Sprintf("services[%d]", i), "has a prefix under /v1/", "choose another prefix")
		}
	}
	return nil
}

func fault(field, what, remedy string) error {
	return &Fault{Field: field, What: what, Remedy: remedy}
}

// Fault is an error in a settings or contract document.
type Fault struct {
	Field  string
	What   string
	Remedy string
}

// Error names the field, the fault and the remedy.
func (f *Fault) Error() string { return f.Field + " " + f.What + "; " + f.Remedy }
