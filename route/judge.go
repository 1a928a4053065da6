package route

// Verdict says what to do with a finished answer that hasn't been delivered.
type Verdict int

// Verdicts on an answer.
const (
	// Deliver passes the answer on.
	Deliver Verdict = iota // deliver
	// Escalate runs the request again on another version.
	Escalate // escalate
)

// scoreFloorDeviations is how far below the agreed quality an answer of a sound version may be rated, in
// deviations of a rating; one of a suspect version must reach it.
const scoreFloorDeviations = 1.0

// Judge decides about an answer of a version for a class with the given agreed quality. score is the
// answer's own rating, which counts when rated is true; without one the version's ratings of
// late decide. A version that is merely slow or fails at times gives good answers when it gives them.
func (e Evidence) Judge(s Subject, quality, score float64, rated bool) Verdict {
	t := e.Stat(s)
	d := t.Health != Healthy && t.Fall >= suspectThreshold
	if d && (!rated || t.Health == Quarantined) {
		return Escalate
	}
	if !rated {
		return Deliver
	}
	f := quality - scoreFloorDeviations*t.deviation()
	if t.Health == Suspect {
		f = quality
	}
	if score < f {
		return Escalate
	}
	return Deliver
}
