package ledger_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// drawLine returns a random copy of one line.
func drawLine(t *rapid.T) ledger.Line {
	return ledger.Line{
		RequestID: "r", Stage: ledger.Stage(rapid.IntRange(0, 2).Draw(t, "stage")),
		Outcome: model.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")), At: time.Unix(rapid.Int64Range(0, 3).Draw(t, "at"), 0),
	}
}

// TestMergeIsOrderIndependent checks that Merge is commutative, associative and idempotent.
func TestMergeIsOrderIndependent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b, c := drawLine(t), drawLine(t), drawLine(t)
		if a.Merge(b) != b.Merge(a) || a.Merge(a) != a || a.Merge(b).Merge(c) != a.Merge(b.Merge(c)) {
			t.Fatalf("%v %v %v", a, b, c)
		}
	})
}

// TestOldestSettledAndWithout checks that OldestSettled returns only settled lines of the given age, and that removing
// them keeps the open lines and the younger settled ones.
func TestOldestSettledAndWithout(t *testing.T) {
	i := is.New(t)
	s := ledger.NewState()
	for k := range 10 {
		l := ledger.Line{RequestID: fmt.Sprint(k), At: time.Unix(int64(k), 0)}
		s = s.WithLine(l)
		if k%2 == 0 {
			l.Stage = ledger.StageSettled
			s = s.WithLine(l)
		}
	}
	a := s.OldestSettled(100, 3*time.Second)
	i.Equal(len(a), 4) // lines 0, 2, 4 and 6 are at least three seconds older than line 9
	var n []string
	for _, l := range a {
		n = append(n, l.RequestID)
	}
	s = s.Without(n)
	i.Equal(s.Len(), 6)
	i.Equal(len(s.Open()), 5)
	i.Equal(len(s.OldestSettled(100, 0)), 1) // line 8 is left
}

// TestLineJSONRoundTrip checks that a line survives encoding to JSON and decoding, in every stage.
func TestLineJSONRoundTrip(t *testing.T) {
	i := is.New(t)
	for _, s := range []ledger.Stage{ledger.StageBegun, ledger.StageOrphaned, ledger.StageSettled} {
		l := ledger.Line{RequestID: "r", Stage: s, Outcome: model.OutcomeRan, At: time.Unix(1, 0).UTC()}
		b, err := json.Marshal(l)
		i.NoErr(err)
		var d ledger.Line
		i.NoErr(json.Unmarshal(b, &d))
		i.Equal(d, l)
	}
}
