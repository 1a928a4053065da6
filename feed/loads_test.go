package feed_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/feed"
)

// What one message tells is bounded however many endpoints there are; the largest changes come first, and all have
// come once the loads stay as they are.
func TestChangesOfLoadsAreBoundedAndCatchUp(t *testing.T) {
	i := is.New(t)
	d := rand.New(rand.NewPCG(1, 1))
	const endpoints, most = 600, 40
	told, now := map[string]feed.Load{}, map[string]feed.Load{}
	for range 30 {
		for range 100 {
			e := fmt.Sprint("e", d.IntN(endpoints))
			if now[e] = (feed.Load{Requests: d.IntN(5), Backlog: d.IntN(800)}); d.IntN(4) == 0 {
				delete(now, e)
			}
		}
		c := feed.Changes(told, now, most)
		i.True(len(c) <= most)
		maps.Copy(told, c)
	}
	now["big"] = feed.Load{Requests: 60, Backlog: 9000}
	i.Equal(feed.Changes(told, now, most)["big"], now["big"])
	for range endpoints/most + 1 {
		maps.Copy(told, feed.Changes(told, now, most))
	}
	i.Equal(len(feed.Changes(told, now, most)), 0)
	for e, l := range told {
		i.Equal(l, now[e])
	}
}
