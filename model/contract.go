// Package model defines the immutable values of the router's domain: contracts, model versions, members,
// endpoints, and the configuration, which consists of contracts, versions and members.
package model

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Duration is a time.Duration that is encoded as text such as "400ms".
type Duration time.Duration

// MarshalText returns the duration as text such as "400ms".
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText parses a duration such as "400ms".
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration; write it like \"400ms\"", text)
	}
	*d = Duration(v)
	return nil
}

// Std returns the duration as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// ClassTerms holds the terms of a contract for one task class.
type ClassTerms struct {
	// Class is unique within a contract.
	Class string `json:"class"`
	// Quality is the agreed mean rating of answers, between 0 and 1.
	Quality float64 `json:"quality"`
	// FirstToken is the bound on the time to first token; 0 means no bound.
	FirstToken Duration `json:"first-token"`
	// Priority orders the customer's own requests among each other. Interactive requests may also use capacity
	// that batch requests must leave free.
	Priority Priority `json:"priority"`
	// RunsOnce is set if completions of the class must run at most once; they need an idempotency key.
	RunsOnce bool `json:"runs-once"`
	// Judge is set if answers are to be rated before they are delivered, as far as the rating service has
	// capacity. A request whose answer is rated too low runs again on another version. The caller gets the
	// first token only when the answer is complete.
	Judge bool `json:"judge"`
	// MaxWait is the bound on the time in the router's queue; 0 means DefaultMaxWait.
	MaxWait Duration `json:"max-wait"`
}

// DefaultMaxWait is the bound on the time in the router's queue for classes without a MaxWait.
const DefaultMaxWait = 10 * time.Second

// QueueTimeout returns the bound on the time in the router's queue: MaxWait or its default.
func (t ClassTerms) QueueTimeout() time.Duration {
	if t.MaxWait == 0 {
		return DefaultMaxWait
	}
	return t.MaxWait.Std()
}

// Price is a price or cost in millionths of the billing currency per 1,000 tokens.
type Price struct {
	InputMicros  int64 `json:"input-micros"`
	OutputMicros int64 `json:"output-micros"`
}

// Amount returns the price of a usage, in millionths of the billing currency, rounded up.
func (p Price) Amount(usage Usage) int64 {
	t := p.InputMicros*usage.InputTokens + p.OutputMicros*usage.OutputTokens
	return (t + 999) / 1000
}

// Usage holds the token counts of one request.
type Usage struct {
	InputTokens  int64 `json:"input-tokens"`
	OutputTokens int64 `json:"output-tokens"`
}

// Service is a plain service, which is an HTTP service other than a model engine. A customer may call it under a path
// prefix.
type Service struct {
	// Prefix begins and ends with "/" and is unique within a contract.
	Prefix string `json:"prefix"`
	// Name is the name under which the service's endpoints announce themselves in Endpoint.Holds.
	Name string `json:"name"`
	// NonRepeatable lists the paths, relative to the prefix, whose calls must run at most once.
	NonRepeatable []string `json:"non-repeatable"`
}

// Contract holds everything that was agreed with one customer. Customers' limits are defined nowhere else.
type Contract struct {
	// Customer is unique among contracts.
	Customer string `json:"customer"`
	// KeyHashes are the hex SHA-256 sums of the customer's bearer keys; a key belongs to one contract only.
	KeyHashes []string `json:"key-hashes"`
	// Versions are the names of the model versions that the customer may use.
	Versions []string `json:"versions"`
	// Classes has at least one entry if Versions has any; the first is used when a request names no class.
	Classes []ClassTerms `json:"classes"`
	// Share is the customer's weight in the fair division of capacity, at least 1.
	Share    int       `json:"share"`
	CutOff   CutOff    `json:"cut-off"`
	Price    Price     `json:"price"`
	Services []Service `json:"services"`
	// MaxOutputTokens bounds the length of an answer, at least 1.
	MaxOutputTokens int `json:"max-output-tokens"`
}

// HashKey returns the hex SHA-256 sum of a bearer key, the form in which contracts store it.
func HashKey(key string) string {
	s := sha256.Sum256([]byte(key))
	return hex.EncodeToString(s[:])
}

// Allows reports whether the contract allows the version.
func (c Contract) Allows(version string) bool { return slices.Contains(c.Versions, version) }

// Terms returns the terms of a class, and whether the contract has it. An empty class means the first one.
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

// Service returns the first service whose prefix matches the path, and whether there is one.
func (c Contract) Service(path string) (Service, bool) {
	i := slices.IndexFunc(c.Services, func(s Service) bool { return strings.HasPrefix(path, s.Prefix) })
	if i < 0 {
		return Service{}, false
	}
	return c.Services[i], true
}

// RunsOnce reports whether calls of the path, which includes the prefix, must run at most once.
func (s Service) RunsOnce(path string) bool {
	r := strings.TrimPrefix(path, s.Prefix)
	return slices.ContainsFunc(s.NonRepeatable, func(p string) bool { return r == strings.TrimPrefix(p, "/") })
}

// Check returns a *Fault if a field is invalid, and nil otherwise.
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

// checkClassesAndServices is the part of Check for classes and services.
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

// fault returns a Fault. The sentences that the Check methods pass to it are fixed: the configuration stores them
// as the result of a rejected change, so hosts of different builds must produce the same text for the same change.
func fault(field, what, remedy string) error {
	return &Fault{Field: field, What: what, Remedy: remedy}
}

// Fault is a validation error in settings, a contract or another value of the domain.
type Fault struct {
	// Field is the name of the invalid field in JSON, What describes the error and Remedy its correction.
	Field  string
	What   string
	Remedy string
}

// Error returns the field, the error and its correction in one line.
func (f *Fault) Error() string { return f.Field + " " + f.What + "; " + f.Remedy }
