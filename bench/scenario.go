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
	// changeAt is when the trouble starts.
	changeAt time.Duration
	// loadFactor multiplies the rate of requests after the turn.
	loadFactor float64
	// drop, faulty and slow befall the cheapest proved version, by its index, after the turn.
	badVersion  int
	qualityDrop float64
	errorShare  float64
	slowdown    float64
	// newVersion is a version declared at the turn and loaded on half of its engines only.
	newVersion bool
	// raterDown stops the rating service after the turn.
	raterDown bool
	// lostEngines is how many engines of the first data centre stop after the turn.
	lostEngines int
	// greedyCustomer lets one customer send half of all requests after the turn.
	greedyCustomer bool
	// equalLoad has all customers send as much as each other after the turn.
	equalLoad bool
	// partition cuts off the first data centre after the turn.
	partition bool
	// judgeStreamed has the answers of streamed classes held back until they are judgeStreamed.
	judgeStreamed bool
	// rolling restarts each engine in turn after the turn: what runs there is cut off, and for a while its
	// address refuses connections.
	rolling bool
	// onlyClass is the one class of the trace, or -1 for all.
	onlyClass int
}

func (s scenario) loadFactorAt(t time.Duration) float64 {
	if t >= s.changeAt && s.loadFactor > 0 {
		return s.loadFactor
	}
	return 1
}

const (
	runLength  = 6 * time.Minute
	changeTime = 4 * time.Minute
	// badVersion is the index of the version that turns bad: the cheap one that most requests use.
	badVersion = 2
)

// scenarios are those of a run by name.
func scenarios() map[string]scenario {
	m := make(map[string]scenario)
	for _, s := range []scenario{
		{name: "steady"},
		{name: "burst", loadFactor: burstFactor},
		{name: "bad-quality", qualityDrop: 0.3},
		{name: "bad-quality-judged", qualityDrop: 0.3, judgeStreamed: true},
		{name: "steady-judged", judgeStreamed: true},
		{name: "bad-errors", errorShare: 0.5},
		{name: "bad-slow", slowdown: 8},
		{name: "rollout", newVersion: true},
		{name: "rater-down", raterDown: true},
		{name: "out-of-capacity", lostEngines: 3},
		{name: "greedy", greedyCustomer: true, loadFactor: 3},
		{name: "cut", partition: true},
		{name: "rolling", rolling: true},
		{name: "backlog", loadFactor: 8, equalLoad: true},
	} {
		s.length, s.changeAt, s.badVersion, s.onlyClass = runLength, changeTime, badVersion, -1
		m[s.name] = s
	}
	s := scenario{name: "short-alone", length: runLength, changeAt: changeTime, badVersion: badVersion, onlyClass: 0}
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

func findRun(deploymentName, scenarioName string) (deployment, scenario, error) {
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
		d.classes[i].terms.Judge = s.judgeStreamed && d.classes[i].streamed
	}
	return d, s, nil
}
