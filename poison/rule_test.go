package poison_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/poison"
)

// Guards against a rule that holds nothing back because it also asks for what other requests had that were in flight at all
// ends by chance.
func TestRuleAsksOnlyForWhatItsRequestsHad(t *testing.T) {
	i := is.New(t)
	k := func(kind poison.Kind, id string) poison.Key { return poison.Key{Kind: kind, ID: id} }
	f := []poison.Key{k(poison.Part, "beside"), k(poison.Request, "dead")}
	o := poison.NewObserver()
	n := 30 * time.Second
	for e := range 5 {
		b := poison.Boot{Endpoint: fmt.Sprint("e", e)}
		for _, l := range [][]poison.Key{f, {k(poison.Part, "bystander")}} {
			o.Broke(poison.Run{Boot: b, Service: "s", Keys: l, Account: "one", Age: 90 * time.Millisecond, Endpoints: 12, Hosts: 9}, n)
		}
		i.Equal(o.Ended(b, n), 2)
		n += 3 * time.Second
	}
	s, _ := poison.State{}.WithReport(o.Take(n), n).Judged(n)
	for _, r := range s.Rules() {
		if r.Key.ID == "dead" {
			i.Equal(r.With, f[:1])
			i.True(r.Holds(f, "one"))
			i.True(!r.Holds(f[1:], "one")) // what always was beside it is missing
			i.True(!r.Holds(f, "two"))     // another account wasn't seen with it
			return
		}
	}
	t.Error("no rule")
}

// Guards against answers without a length that are never taken for complete: with nothing served, a service looks down and
// parts that end its endpoints are never found.
func TestOpenEndedAnswerCountsOnceEndpointGoesOn(t *testing.T) {
	for _, alive := range []bool{false, true} {
		t.Run(fmt.Sprint(alive), func(t *testing.T) {
			i := is.New(t)
			o := poison.NewObserver()
			l := []poison.Key{{Kind: poison.Part, ID: "sound"}}
			r := poison.Run{Boot: poison.Boot{Endpoint: "e"}, Service: "s", Keys: l, Age: 90 * time.Millisecond, OpenEnded: true, Endpoints: 12, Hosts: 9}
			for n := range 3 {
				o.Broke(r, time.Duration(n)*time.Second)
				if alive {
					o.Alive(r.Boot, time.Duration(n)*time.Second+100*time.Millisecond, time.Duration(n)*time.Second+150*time.Millisecond)
				}
			}
			r.OpenEnded = false
			o.Broke(r, 3*time.Second)
			i.True(o.Ended(r.Boot, 3*time.Second) > 0)
			i.Equal(len(o.Take(3*time.Second).Cases) == 0, alive) // what was served lately is no suspect
		})
	}
}
