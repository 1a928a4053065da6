package bench

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// scenario is what happens during a run.
type scenario struct {
	name   string
	length time.Duration
	// turn is when the trouble starts.
	turn time.Duration
	// load multiplies the rate of requests after the turn.
	load float64
	// drop, faulty and slow befall the cheapest proved version, by its index, after the turn.
	bad    int
	drop   float64
	faulty float64
	slow   float64
	// fresh is a version declared at the turn and loaded on half of its engines only.
	fresh bool
	// raterDown stops the rating service after the turn.
	raterDown bool
	// lost is how many engines of the first data centre stop after the turn.
	lost int
	// greedy lets one customer send half of all requests after the turn.
	greedy bool
	// equal has all customers send as much as each other after the turn.
	equal bool
	// cut cuts off the first data centre after the turn.
	cut bool
	// judged has the answers of streamed classes held back until they are judged.
	judged bool
	// rolling restarts each engine in turn after the turn: what runs there is cut off, and for a while its
	// address refuses connections.
	rolling bool
	// only is the one class of the trace, or -1 for all.
	only int
}

func (s scenario) loadAt(t time.Duration) float64 {
	if t >= s.turn && s.load > 0 {
		return s.load
	}
	return 1
}

const (
	runLength = 6 * time.Minute
	turnAt    = 4 * time.Minute
	// badVersion is the index of the version that turns bad: the cheap one that most requests use.
	badVersion = 2
)

// scenarios are those of a run by name.
func scenarios() map[string]scenario {
	m := make(map[string]scenario)
	for _, s := range []scenario{
		{name: "steady"},
		{name: "burst", load: burstFactor},
		{name: "bad-quality", drop: 0.3},
		{name: "bad-quality-judged", drop: 0.3, judged: true},
		{name: "steady-judged", judged: true},
		{name: "bad-errors", faulty: 0.5},
		{name: "bad-slow", slow: 8},
		{name: "rollout", fresh: true},
		{name: "rater-down", raterDown: true},
		{name: "out-of-capacity", lost: 3},
		{name: "greedy", greedy: true, load: 3},
		{name: "cut", cut: true},
		{name: "rolling", rolling: true},
		{name: "backlog", load: 8, equal: true},
	} {
		s.length, s.turn, s.bad, s.only = runLength, turnAt, badVersion, -1
		m[s.name] = s
	}
	s := scenario{name: "short-alone", length: runLength, turn: turnAt, bad: badVersion, only: 0}
	m[s.name] = s
	return m
}

// ScenarioNames lists the scenarios.
func ScenarioNames() []string {
	var r []string
	for n := range scenarios() {
		r = append(r, n)
	}
	sort.Strings(r)
	return r
}

func find(deploymentName, scenarioName string) (deployment, scenario, error) {
	var d deployment
	switch deploymentName {
	case "rollhilfe":
		d = rollhilfe()
	case "savinja":
		d = savinja()
	default:
		return d, scenario{}, fmt.Errorf("deployment %q isn't known; name rollhilfe or savinja", deploymentName)
	}
	s, ok := scenarios()[scenarioName]
	if !ok {
		return d, s, fmt.Errorf("scenario %q isn't known; name one of %s", scenarioName, strings.Join(ScenarioNames(), ", "))
	}
	for i := range d.classes {
		d.classes[i].terms.Judge = s.judged && d.classes[i].streamed
	}
	return d, s, nil
}
