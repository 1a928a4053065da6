package poison_test

import (
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/poison"
)

// BenchmarkHealthyRequest measures what a request with three keys and a body of 800 bytes costs while nothing is suspected.
func BenchmarkHealthyRequest(b *testing.B) {
	o := poison.NewObserver()
	d := poison.Identity{Account: "account", Method: "POST", Host: "h.example", Target: "/x/y", Body: make([]byte, 800)}
	b.ReportAllocs()
	for n := range b.N {
		now := time.Duration(n) * time.Millisecond
		l := []poison.Key{{Kind: poison.Part, ID: "first"}, {Kind: poison.Part, ID: "second"}, d.Key()}
		o.Started("s", l, now)
		o.Held(l, "account", now)
		o.Served("s", l, now)
	}
}
