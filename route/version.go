// Package route chooses a version and an endpoint for each request: the cheapest allowed version with enough
// evidence that it reaches the quality agreed for the task class, and an endpoint by its estimated load.
package route

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	// confidenceZ is the number of standard errors between the mean quality and its confidence bounds.
	confidenceZ = 1.64
	// minRatings is the number of ratings from which the confidence bounds of a version are used.
	minRatings = 15
	// ExploreShare is the maximum share of a class's requests for a new version without enough evidence.
	ExploreShare = 0.02
	// TrustedShare is the maximum share for a version without enough evidence that was in use before the router was
	// introduced.
	TrustedShare = 0.10
	// promisingShare is the maximum share for a version as described at TrustedShare, if its mean reaches the agreed
	// quality after minPromisingRatings. Such a version is more likely good than not, so this share doesn't lower the
	// mean quality of answers.
	promisingShare      = 0.50
	minPromisingRatings = 5
	// SuspectShare is the maximum share of requests for a suspect version.
	SuspectShare = 0.01
)

// VersionQuery holds the criteria by which ChooseVersion selects versions for a request.
type VersionQuery struct {
	Contract model.Contract
	Terms    model.ClassTerms
	// Pinned is the version of the request's session or the version that the request names. If it is empty, the
	// router chooses.
	Pinned string
	// Draw is a random number, uniform in [0, 1), that decides whether the request is used for exploration.
	Draw float64
}

// Candidate is a version that the contract allows, with the properties that decide whether it is chosen.
type Candidate struct {
	Version string
	// Cost is the sum of the prices of 1,000 input tokens and 1,000 output tokens, in millionths of the currency.
	Cost    int64
	Ratings float64
	Mean    float64
	// Lower and Upper are the confidence bounds of the mean quality.
	Lower  float64
	Upper  float64
	Health Health
	// Trusted is true for a version that was in use before the router was introduced.
	Trusted bool
	// Ineligible is the reason why the version can't be chosen. It is empty if the version is eligible.
	Ineligible string
}

// VersionChoice is the result of ChooseVersion.
type VersionChoice struct {
	// Versions lists the versions in the order in which to try them. It is empty if none may be used.
	Versions []string
	// Reason is a short text for operators: why the first version was chosen, or why there is none.
	Reason string
	// Explored is true if the first version was chosen to gather evidence about it.
	Explored   bool
	Candidates []Candidate
}

// ChooseVersion returns the versions for a request in order of preference. isServed reports whether a usable
// endpoint holds a version.
//
// A pinned version is the only choice. Otherwise a bounded share of the requests explores versions without enough
// evidence, provided that they are suspect or cheaper than the cheapest version whose quality is proven. The other
// requests go to that cheapest proven version. If there is none, the unproven version with the best evidence is used.
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

// listCandidates returns the allowed versions that the configuration declares, cheapest first.
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

// ineligibility returns the reason why a version can't be chosen, or an empty text if it can. Package core compares
// the reason about endpoints literally.
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

// choosePinned returns a choice of just the given version, or one without versions if it isn't allowed or eligible.
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

// splitByProof separates the versions whose lower confidence bound reaches the agreed quality from all others. Both
// results keep the order of the candidates.
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

// chooseExploration returns the version for which the request should gather evidence, if any. Each candidate gets
// an interval of [0, 1) as long as its share of requests; the candidate whose interval contains draw is chosen. A
// version whose upper confidence bound is below the agreed quality gets no share.
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

// chooseUnproven completes the choice if no version is proven. Versions whose upper confidence bound is below the
// agreed quality are left out. The others are ordered by health, then by lower confidence bound, highest first, then
// by cost, highest first; so among versions without any evidence the most expensive one is used.
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

// versionNames returns the names of the candidates' versions, in the same order.
func versionNames(candidates []Candidate) []string {
	var r []string
	for _, c := range candidates {
		r = append(r, c.Version)
	}
	return r
}
