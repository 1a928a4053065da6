// Package route chooses a version and an endpoint for each request: the cheapest allowed version whose
// quality is proved for the task class, and an endpoint by its estimated load.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	// confidenceZ is the number of deviations between a mean and the bounds used for choices.
	confidenceZ = 1.64
	// minRatings is how many ratings a version needs before its bound counts.
	minRatings = 15
	// ExploreShare bounds the share of a class's requests given to a new version without enough evidence.
	ExploreShare = 0.02
	// TrustedShare is the same for a version that was in use before the router came.
	TrustedShare = 0.10
	// promisingShare is the same for one whose mean reaches the quality after minPromise ratings: it is more
	// likely good than not, so the answers' mean doesn't suffer.
	promisingShare      = 0.50
	minPromisingRatings = 5
	// SuspectShare bounds the share of requests given to a suspect version.
	SuspectShare = 0.01
)

// VersionQuery is what a request asks of the choice of a version.
type VersionQuery struct {
	Contract model.Contract
	Terms    model.ClassTerms
	// Pinned is the version of the request's session, or the one it names; empty lets the router choose.
	Pinned string
	// Draw is uniform in [0, 1) and decides about exploration.
	Draw float64
}

// Candidate is one allowed version as the choice sees it.
type Candidate struct {
	Version string
	// Cost is per 1,000 tokens, input and output added, in millionths of the currency.
	Cost    int64
	Ratings float64
	Mean    float64
	Lower   float64
	Upper   float64
	Health  Health
	// Trusted versions were in use before the router came.
	Trusted bool
	// Ineligible says why the version can't be chosen; empty for a choice.
	Ineligible string
}

// VersionChoice is the result of choosing a version.
type VersionChoice struct {
	// Versions are in the order in which they should be tried; empty when none may be used.
	Versions []string
	// Reason says in a few words why the first was chosen, or why none was.
	Reason string
	// Explored is true for a version chosen to gather evidence.
	Explored   bool
	Candidates []Candidate
}

// ChooseVersion returns the versions for a request in order of preference. held tells whether a usable
// endpoint holds a version.
func ChooseVersion(config model.Config, evidence Evidence, query VersionQuery, isServed func(string) bool, now time.Duration) VersionChoice {
	c := listCandidates(config, evidence, query, isServed, now)
	if query.Pinned != "" {
		return choosePinned(c, query.Pinned)
	}
	r := VersionChoice{Candidates: c}
	u := slices.DeleteFunc(slices.Clone(c), func(d Candidate) bool { return d.Ineligible != "" })
	if len(u) == 0 {
		r.Reason = "no allowed version is live, healthy and loaded"
		return r
	}
	p, n := splitByProof(u, query.Terms.Quality)
	if x, ok := chooseExploration(n, query.Terms.Quality, query.Draw); ok && (len(p) == 0 || x.Cost < p[0].Cost || x.Health == Suspect) {
		r.Versions, r.Explored = append([]string{x.Version}, versionNames(p)...), true
		r.Reason = fmt.Sprintf("gathers evidence, %.0f ratings so far", x.Ratings)
		return r
	}
	if len(p) > 0 {
		r.Versions = versionNames(p)
		r.Reason = fmt.Sprintf("cheapest version with proved quality %.2f", p[0].Lower)
		return r
	}
	return chooseUnproven(r, n, query.Terms.Quality)
}

// listCandidates lists the allowed versions, cheapest first.
func listCandidates(config model.Config, evidence Evidence, query VersionQuery, isServed func(string) bool, now time.Duration) []Candidate {
	var r []Candidate
	for _, n := range query.Contract.Versions {
		v, ok := config.Version(n)
		if !ok {
			continue
		}
		s := evidence.Stat(Subject{n, query.Terms.Class})
		r = append(r, Candidate{
			Version:    n,
			Cost:       v.Cost.InputMicros + v.Cost.OutputMicros,
			Ratings:    s.Count,
			Mean:       s.Mean,
			Lower:      s.LowerBound(confidenceZ, now),
			Upper:      s.UpperBound(confidenceZ, now),
			Health:     s.Health,
			Trusted:    v.Trusted,
			Ineligible: ineligibility(v, s, isServed),
		})
	}
	slices.SortStableFunc(r, func(a, b Candidate) int { return cmp.Compare(a.Cost, b.Cost) })
	return r
}

func ineligibility(v model.Version, s Stat, isServed func(string) bool) string {
	switch {
	case v.State == model.VersionWithdrawn:
		return "withdrawn"
	case s.Health == Quarantined:
		return "quarantined"
	case !isServed(v.Name):
		return "no usable endpoint holds it"
	}
	return ""
}

func choosePinned(candidates []Candidate, version string) VersionChoice {
	r := VersionChoice{Candidates: candidates}
	i := slices.IndexFunc(candidates, func(c Candidate) bool { return c.Version == version })
	switch {
	case i < 0:
		r.Reason = "version " + version + " isn't allowed by the contract"
	case candidates[i].Ineligible != "":
		r.Reason = "version " + version + ": " + candidates[i].Ineligible
	default:
		r.Versions = []string{version}
		r.Reason = "the session or request names the version"
	}
	return r
}

// splitByProof separates the versions whose quality is proved from the others; both stay in order of cost.
func splitByProof(candidates []Candidate, quality float64) (proven, unproven []Candidate) {
	for _, c := range candidates {
		if c.Health == Healthy && c.Ratings >= minRatings && c.Lower >= quality {
			proven = append(proven, c)
		} else {
			unproven = append(unproven, c)
		}
	}
	return proven, unproven
}

// chooseExploration picks a version whose evidence doesn't decide yet whether it reaches the quality, for a bounded
// share of the requests.
func chooseExploration(candidates []Candidate, quality, draw float64) (Candidate, bool) {
	for _, c := range candidates {
		s := 0.0
		switch {
		case c.Health == Suspect:
			s = SuspectShare
		case c.Ratings >= minRatings && c.Upper < quality:
			s = 0
		case c.Trusted && c.Ratings >= minPromisingRatings && c.Mean >= quality:
			s = promisingShare
		case c.Trusted:
			s = TrustedShare
		default:
			s = ExploreShare
		}
		if draw < s {
			return c, true
		}
		draw -= s
	}
	return Candidate{}, false
}

// chooseUnproven chooses while no version is proved: the one with the best bound that could still meet the
// quality, and the costliest among those without any evidence.
func chooseUnproven(r VersionChoice, candidates []Candidate, quality float64) VersionChoice {
	u := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return c.Upper < quality })
	if len(u) == 0 {
		r.Reason = fmt.Sprintf("no allowed version reaches quality %.2f", quality)
		return r
	}
	slices.SortStableFunc(u, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.Health, b.Health), cmp.Compare(b.Lower, a.Lower), cmp.Compare(b.Cost, a.Cost))
	})
	r.Versions = versionNames(u)
	r.Reason = "no version is proved yet, the most promising one serves"
	return r
}

func versionNames(candidates []Candidate) []string {
	var r []string
	for _, c := range candidates {
		r = append(r, c.Version)
	}
	return r
}
