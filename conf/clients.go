package conf

import (
	"cmp"
	"fmt"
	"time"

	"github.com/hickoryshelf/hickoryshelf/intake"
)

const (
	// defaultShare is AddressShare and AccountShare if those aren't set.
	defaultShare = 0.5
	// descriptorPart is the part of the process's descriptors that connections of clients may take: a half. Each request in flight takes
	// another one for its endpoint.
	descriptorPart = 2
	// connectionsPerMB is the number of connections for each MB of memory. A connection with a request in flight takes about 100 KB with
	// its buffers, and few have one.
	connectionsPerMB = 6
	// documentPart is the part of the memory that a configuration document may take, and maxDocumentBytes the most: it is in memory twice
	// while it is joined, which has to fit into what one address may take, and more often while it is put in force.
	documentPart     = 20
	maxDocumentBytes = 32 << 20
	// defaultMemoryMB and defaultDescriptors stand for limits that aren't known.
	defaultMemoryMB    = 256
	defaultDescriptors = 4096
)

// Clients bounds what clients may take of a process. A field that is 0 has a default by the limits of the process.
type Clients struct {
	// MemoryMB is the memory of all requests together that arrive or are in flight: their header fields and bodies.
	MemoryMB int64 `json:"memory-mb"`
	// AddressShare and AccountShare are the shares of it, from 0 to 1, that the requests from one IP address and those of one client
	// account may take.
	AddressShare float64 `json:"address-share"`
	AccountShare float64 `json:"account-share"`
	// Connections is the number of open connections of clients.
	Connections int `json:"connections"`
	// BodyTimeout is the time within which a body must have come if its caller doesn't say how long it waits.
	BodyTimeout Duration `json:"body-timeout"`
	// AnswerTimeout is the time within which a caller must take a piece of an answer.
	AnswerTimeout Duration `json:"answer-timeout"`
	// DiscardBytes and DiscardTime bound what is read, and thrown away, of the body of a request that was refused.
	DiscardBytes int64    `json:"discard-bytes"`
	DiscardTime  Duration `json:"discard-time"`
	// DocumentBytes is the size of the largest configuration document that a control host takes.
	DocumentBytes int64 `json:"document-bytes"`
}

// check returns a *Fault for the first value that is invalid for a process with an amount of memory, or nil.
func (c Clients) check(memoryMB int64) error {
	for _, v := range []struct {
		field string
		value float64
		most  float64
	}{
		{"memory-mb", float64(c.MemoryMB), float64(memoryMB)},
		{"address-share", c.AddressShare, 1},
		{"account-share", c.AccountShare, 1},
		{"connections", float64(c.Connections), 0},
		{"discard-bytes", float64(c.DiscardBytes), 0},
		{"document-bytes", float64(c.DocumentBytes), 0},
	} {
		if v.value < 0 || v.most > 0 && v.value > v.most {
			return &Fault{Field: "clients." + v.field, What: fmt.Sprintf("is %v", v.value), Remedy: "write a value that isn't negative, a share up to 1, no more memory than the process has, or leave it out"}
		}
	}
	return nil
}

// ClientLimits returns the limits for clients with the defaults of this process.
func (n Node) ClientLimits() Clients {
	c := n.Clients
	m := cmp.Or(n.MemoryMB, defaultMemoryMB)
	c.AddressShare, c.AccountShare = cmp.Or(c.AddressShare, defaultShare), cmp.Or(c.AccountShare, defaultShare)
	c.Connections = cmp.Or(c.Connections, min(cmp.Or(n.Descriptors, defaultDescriptors)/descriptorPart, int(m)*connectionsPerMB))
	c.BodyTimeout = cmp.Or(c.BodyTimeout, Duration(time.Minute))
	c.DocumentBytes = cmp.Or(c.DocumentBytes, min(maxDocumentBytes, m<<20/documentPart))
	return c
}

// IntakeLimits returns the limits of the memory of requests.
func (n Node) IntakeLimits() intake.Limits {
	c := n.ClientLimits()
	b := intake.DefaultBytes(n.MemoryMB)
	if c.MemoryMB > 0 {
		b = c.MemoryMB << 20
	}
	return intake.Limits{Bytes: b, AddressBytes: int64(float64(b) * c.AddressShare), OwnerBytes: int64(float64(b) * c.AccountShare)}
}
