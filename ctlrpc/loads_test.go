package ctlrpc_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

// The number of changes in a message is bounded, whatever the number of endpoints. The largest changes are sent
// first, and all have been sent some time after the loads stop changing.
func TestLoadChangesAreBoundedAndComplete(t *testing.T) {
	i := is.New(t)
	d := rand.New(rand.NewPCG(1, 1))
	const endpoints, limit = 600, 40
	o, n := map[string]ctlrpc.Load{}, map[string]ctlrpc.Load{}
	for range 30 {
		for range 100 {
			e := fmt.Sprint("e", d.IntN(endpoints))
			if n[e] = (ctlrpc.Load{Requests: d.IntN(5), Backlog: d.IntN(800)}); d.IntN(4) == 0 {
				delete(n, e)
			}
		}
		c := ctlrpc.LoadChanges(o, n, limit)
		i.True(len(c) <= limit)
		maps.Copy(o, c)
	}
	n["big"] = ctlrpc.Load{Requests: 60, Backlog: 9000}
	i.Equal(ctlrpc.LoadChanges(o, n, limit)["big"], n["big"])
	for range endpoints/limit + 1 {
		maps.Copy(o, ctlrpc.LoadChanges(o, n, limit))
	}
	i.Equal(len(ctlrpc.LoadChanges(o, n, limit)), 0)
	for e, l := range o {
		i.Equal(l, n[e])
	}
}
