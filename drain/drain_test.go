package drain_test

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/drain"
)

var known = []string{"a", "b", "c"}

func order(dataCentre string, drained bool) drain.Order {
	return drain.Order{DataCentre: dataCentre, Drained: drained, Known: known}
}

// Guards against a state that changes under its holder, a repeated order that moves the index, and an ended drain that is forgotten.
func TestOrdersMakeNewStates(t *testing.T) {
	i := is.New(t)
	var s drain.State
	i.Equal(s.Index(), uint64(0))
	i.Equal(s.WithOrder(order("a", false), 2), s) // an end without a start
	a := s.WithOrder(order("a", true), 3)
	b := a.WithOrder(order("b", true), 4)
	i.Equal(a.Drained(), []string{"a"})
	i.Equal(b.Drained(), []string{"a", "b"})
	i.Equal(b.WithOrder(order("a", true), 5), b)
	e := b.WithOrder(order("a", false), 6)
	i.Equal(e, drain.State{"a": {Index: 6}, "b": {Drained: true, Index: 4}})
	i.Equal(e.Index(), uint64(6))
	i.True(b.IsDrained("a"))
}

// Guards against a deployment without any data centre that takes requests.
func TestLastDataCentreIsNotDrained(t *testing.T) {
	i := is.New(t)
	s := drain.State{}.WithOrder(order("a", true), 3).WithOrder(order("b", true), 4)
	i.True(s.IsLast("c", known))
	i.Equal(s.WithOrder(order("c", true), 5), s)
	i.Equal(s.WithOrder(order("b", true), 5), s) // repeated
	i.True(!s.WithOrder(order("a", false), 5).IsLast("c", known))
	i.True(drain.State{}.IsLast("a", []string{"a"}))
}

// Guards against a form that other builds can't read.
func TestStateKeepsItsForm(t *testing.T) {
	i := is.New(t)
	b, err := json.Marshal(drain.State{"a": {Drained: true, Index: 7}})
	i.NoErr(err)
	i.Equal(string(b), `{"a":{"drained":true,"index":7}}`)
}
