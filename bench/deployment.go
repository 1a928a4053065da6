// Package bench drives the real decision code with a seeded trace against small stand-ins for engines and
// the rating service, in virtual time, and compares it with plain policies on the same trace.
package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// class is one kind of request in a deployment.
type class struct {
	terms model.ClassTerms
	// requestShare is the share of the requests; input and output are mean tokens.
	requestShare float64
	input        int
	output       int
	// streamed answers reach the caller while they are made, so that they can't be held back.
	streamed bool
}

// versionSpec is a version with its true quality in each class, in the order of the classes.
type versionSpec struct {
	version model.Version
	quality []float64
}

// deployment is one of the users' systems.
type deployment struct {
	name        string
	dataCentres []string
	// hosts is the number of entry hosts in each data centre.
	hosts     []int
	classes   []class
	versions  []versionSpec
	customers []customer
	// enginesPerCentre hold the versions given by holds in turn.
	enginesPerCentre int
	holds            [][]int
	capacity         int
	// requestRate is the number of requests a second when steady.
	requestRate float64
	// ratingRate is the limit of the rating service a second.
	ratingRate float64
}

// customer is one with its share of the requests and of the capacity.
type customer struct {
	name          string
	requestShare  float64
	capacityShare int
}

func priceOf(output int64) model.Price {
	return model.Price{InputMicros: output / 4, OutputMicros: output}
}

func newVersionSpec(name string, output int64, quality ...float64) versionSpec {
	return versionSpec{model.Version{Name: name, Cost: priceOf(output), Trusted: true}, quality}
}

// customers are ten accounts, a few of them large.
func customers() []customer {
	r := []customer{{"large-1", 0.25, 3}, {"large-2", 0.25, 3}, {"large-3", 0.15, 2}}
	for i := range 7 {
		r = append(r, customer{fmt.Sprintf("small-%d", i+1), 0.05, 1})
	}
	return r
}

func rollhilfe() deployment {
	return deployment{
		name: "rollhilfe", dataCentres: []string{"bern-halle", "olten-halle", "aarau-halle"}, hosts: []int{3, 3, 3},
		classes: []class{
			{model.ClassTerms{Class: "fitting", Quality: 0.78, Priority: model.PriorityInteractive, FirstToken: model.Duration(400 * time.Millisecond)}, 0.6, 300, 60, true},
			{model.ClassTerms{Class: "inspection", Quality: 0.78, Priority: model.PriorityNormal}, 0.25, 600, 200, false},
			{model.ClassTerms{Class: "draft", Quality: 0.78, Priority: model.PriorityBatch}, 0.15, 800, 600, false},
		},
		versions: []versionSpec{
			newVersionSpec("large@1", 1600, 0.92, 0.92, 0.92), newVersionSpec("medium@1", 600, 0.88, 0.86, 0.83),
			newVersionSpec("small@1", 160, 0.84, 0.83, 0.60), newVersionSpec("tiny@1", 40, 0.68, 0.55, 0.40),
		},
		customers: customers(), enginesPerCentre: 4, holds: [][]int{{0, 1}, {1, 2}, {2, 3}, {0, 2}}, capacity: 16,
		requestRate: 14, ratingRate: 12,
	}
}

func savinja() deployment {
	return deployment{
		name: "savinja", dataCentres: []string{"celje-hall", "mozirje-hall", "velenje-hall", "zalec-hall"}, hosts: []int{3, 2, 2, 2},
		classes: []class{
			{model.ClassTerms{Class: "parent", Quality: 0.75, Priority: model.PriorityInteractive, FirstToken: model.Duration(400 * time.Millisecond)}, 0.45, 200, 120, true},
			{model.ClassTerms{Class: "reminder", Quality: 0.75, Priority: model.PriorityNormal}, 0.30, 100, 40, false},
			{model.ClassTerms{Class: "summary", Quality: 0.78, Priority: model.PriorityBatch}, 0.25, 2000, 500, false},
		},
		versions: []versionSpec{
			newVersionSpec("large@1", 1600, 0.91, 0.92, 0.92), newVersionSpec("medium@1", 500, 0.86, 0.88, 0.84),
			newVersionSpec("small@1", 120, 0.81, 0.84, 0.62), newVersionSpec("tiny@1", 40, 0.60, 0.79, 0.40),
		},
		customers: customers(), enginesPerCentre: 3, holds: [][]int{{0, 1}, {1, 2}, {2, 3}}, capacity: 16,
		requestRate: 13, ratingRate: 12,
	}
}

// arrival is one request of the trace.
type arrival struct {
	id       string
	at       time.Duration
	customer customer
	class    int
	host     int
	input    int
	output   int
	// seed decides about the answer's quality and other chances, the same for every policy.
	seed uint64
}

// burstFactor is the rise of the load in the booking hour.
const burstFactor = 4

// newTrace draws the requests of a run.
func newTrace(d deployment, s scenario, seed uint64) []arrival {
	r := rand.New(rand.NewPCG(seed, 11))
	var a []arrival
	n := 0
	for _, h := range d.hosts {
		n += h
	}
	for t := time.Duration(0); t < s.length; {
		f := s.loadFactorAt(t)
		t += time.Duration(r.ExpFloat64() / (d.requestRate * f) * float64(time.Second))
		c := pickClass(d, s, r)
		k := d.classes[c]
		a = append(a, arrival{
			id: fmt.Sprintf("r%d", len(a)), at: t, customer: pickCustomer(d, s, r, t), class: c, host: r.IntN(n),
			input: 1 + int(float64(k.input)*(0.5+r.Float64())), output: 1 + int(float64(k.output)*(0.5+r.Float64())), seed: r.Uint64(),
		})
	}
	return a
}

func pickClass(d deployment, s scenario, r *rand.Rand) int {
	if s.onlyClass >= 0 {
		return s.onlyClass
	}
	x := r.Float64()
	for i, c := range d.classes {
		if x < c.requestShare {
			return i
		}
		x -= c.requestShare
	}
	return 0
}

// pickCustomer draws a customer; in the greedy scenario one of them sends far more than its part.
func pickCustomer(d deployment, s scenario, r *rand.Rand, t time.Duration) customer {
	if s.greedyCustomer && t > s.changeAt && r.Float64() < 0.5 {
		return d.customers[len(d.customers)-1]
	}
	if s.equalLoad && t > s.changeAt {
		return d.customers[r.IntN(len(d.customers))]
	}
	x := r.Float64()
	for _, c := range d.customers {
		if x < c.requestShare {
			return c
		}
		x -= c.requestShare
	}
	return d.customers[0]
}
