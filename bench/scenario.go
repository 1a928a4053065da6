package bench

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

// scenario describes the load and the change of a run: a fault, another load or a new version, which takes effect at
// a fixed time and lasts to the end.
type scenario struct {
	name string
	// length is the length of the trace.
	length time.Duration
	// changeAt is the time at which the change takes effect.
	changeAt time.Duration
	// loadFactor multiplies the request rate after the change; 0 leaves the rate as it is.
	loadFactor float64
	// badVersion is the index of the version that the faults qualityDrop, errorShare and slowdown affect after the
	// change: the cheapest trusted version that meets the quality targets of most requests.
	badVersion int
	// qualityDrop lowers the mean quality of the answers.
	qualityDrop float64
	// errorShare is the share of faulty answers.
	errorShare float64
	// slowdown multiplies the prefill time and the time per output token; 0 is no slowdown.
	slowdown float64
	// newVersion loads an additional, untrusted version on half of the engines at the change.
	newVersion bool
	// raterDown stops the rating service after the change.
	raterDown bool
	// lostEngines is the number of engines of the first data centre that stop at the change.
	lostEngines int
	// greedyCustomer lets one customer send half of all requests after the change, in addition to its usual share of
	// the others.
	greedyCustomer bool
	// equalLoad lets every customer send the same number of requests on average after the change.
	equalLoad bool
	// partition cuts the first data centre off from the others after the change.
	partition bool
	// judgeStreamed holds the answers of streamed classes back until they are judged.
	judgeStreamed bool
	// rolling restarts one engine after another from the change on. Attempts that run on a restarting engine are
	// interrupted, and its address refuses connections for restartTime.
	rolling bool
	// onlyClass is the index of the only class in the trace, or -1 for all classes.
	onlyClass int
}

// loadFactorAt returns the factor of the request rate at a time of the trace.
func (s scenario) loadFactorAt(t time.Duration) float64 {
	if t >= s.changeAt && s.loadFactor > 0 {
		return s.loadFactor
	}
	return 1
}

const (
	// runLength and changeTime are the length and the time of the change of every scenario.
	runLength  = 6 * time.Minute
	changeTime = 4 * time.Minute
	// badVersion is the index of the version that gets the faults: small@1, the cheap version that most requests use.
	badVersion = 2
)

// scenarios returns all scenarios by name.
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

// ScenarioNames returns the names of all scenarios in alphabetical order.
func ScenarioNames() []string {
	var r []string
	for n := range scenarios() {
		r = append(r, n)
	}
	sort.Strings(r)
	return r
}

// findRun returns a deployment and a scenario by their names, or an error if one of them is unknown. In scenarios with
// judgeStreamed, the streamed classes of the deployment require judging.
func findRun(deploymentName, scenarioName string) (deployment, scenario, error) {
	var d deployment
	switch deploymentName {
	case "rollhilfe":
		d = rollhilfe()
	case "savinja":
		d = savinja()
	default:
		return d, scenario{}, fmt.Errorf("unknown deployment %q; available: rollhilfe, savinja", deploymentName)
	}
	s, ok := scenarios()[scenarioName]
	if !ok {
		return d, s, fmt.Errorf("unknown scenario %q; available: %s", scenarioName, strings.Join(ScenarioNames(), ", "))
	}
	for i := range d.classes {
		d.classes[i].terms.Judge = s.judgeStreamed && d.classes[i].streamed
	}
	return d, s, nil
}
