// Package bench measures the routing decisions in a simulation. It replays a seeded trace in virtual time against
// simulated engines and a simulated rating service, with the router's real reducer and with simple baseline
// policies, and compares their quality, cost and latency.
package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// class is a task class of a deployment.
type class struct {
	terms model.ClassTerms
	// requestShare is the share of the class in all requests.
	requestShare float64
	// input and output are the mean numbers of prompt and output tokens.
	input  int
	output int
	// streamed is set for classes whose answers reach the caller while they are generated, so that they can't be held
	// back for judging unless the class requires it.
	streamed bool
}

// versionSpec is a version with the true mean quality of its answers in each class, in the order of the classes.
type versionSpec struct {
	version model.Version
	quality []float64
}

// deployment models the system of one user of the router.
type deployment struct {
	name        string
	dataCentres []string
	// hosts is the number of entry hosts in each data centre.
	hosts   []int
	classes []class
	// versions are ordered from the highest to the lowest quality and cost.
	versions  []versionSpec
	customers []customer
	// enginesPerCentre is the number of engines in each data centre. holds has an element for each of them with the
	// indexes of the versions that it loads.
	enginesPerCentre int
	holds            [][]int
	// capacity is the number of attempts that an engine runs at the same time.
	capacity int
	// requestRate is the mean number of requests per second before the change of a scenario.
	requestRate float64
	// ratingRate is the limit of the rating service in ratings per second, and the size of its token bucket.
	ratingRate float64
}

// customer is a customer with its share of the requests, from 0 to 1, and the capacity share of its contract, which is
// relative to the shares of the others.
type customer struct {
	name          string
	requestShare  float64
	capacityShare int
}

// priceOf returns a price by its output price in millionths of the billing currency per 1,000 tokens. The input price
// is a quarter of it.
func priceOf(output int64) model.Price {
	return model.Price{InputMicros: output / 4, OutputMicros: output}
}

// newVersionSpec returns a trusted version with its output price, as for priceOf, and its quality by class.
func newVersionSpec(name string, output int64, quality ...float64) versionSpec {
	return versionSpec{model.Version{Name: name, Cost: priceOf(output), Trusted: true}, quality}
}

// customers returns ten customers, three of them large.
func customers() []customer {
	r := []customer{{"large-1", 0.25, 3}, {"large-2", 0.25, 3}, {"large-3", 0.15, 2}}
	for i := range 7 {
		r = append(r, customer{fmt.Sprintf("small-%d", i+1), 0.05, 1})
	}
	return r
}

// rollhilfe returns a deployment with three data centres and nine entry hosts.
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

// savinja returns a deployment with four data centres and nine entry hosts.
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
	// class and host are indexes into the classes and the entry hosts of the deployment.
	class int
	host  int
	// input and output are the numbers of prompt and output tokens.
	input  int
	output int
	// seed seeds the random draws for the request's answers, such as their quality, so that they are the same for
	// every policy.
	seed uint64
}

// burstFactor is the factor by which the load rises in the booking hour.
const burstFactor = 4

// newTrace draws the requests of a run. Arrivals are a Poisson process; the numbers of tokens are uniformly distributed
// between 50 % and 150 % of the means of the class.
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

// pickClass draws a class by the request shares, or returns the only class of the scenario.
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

// pickCustomer draws a customer by the request shares. After the change of a scenario with a greedy customer, the last
// customer sends half of the requests on top of its share; with equalLoad all customers are equally likely.
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
