package route

// Verdict is the decision about a complete answer that hasn't been delivered yet.
type Verdict int

// Values of Verdict.
const (
	// Deliver sends the answer to the client.
	Deliver Verdict = iota // deliver
	// Escalate discards the answer and runs the request again on another version.
	Escalate // escalate
)

// scoreFloorDeviations is how far below the agreed quality the score of an answer may be, in standard deviations
// of a rating. An answer of a suspect version must reach the agreed quality itself.
const scoreFloorDeviations = 1.0

// Judge decides whether an answer is delivered or escalated. quality is the quality agreed for the task class.
// score is the rating of this answer and is used only if rated is true; without a rating, the recent ratings of
// the version decide. A version that is quarantined for a drop in quality is escalated even with a good score.
// Reduced health because of faults or slow answers doesn't count against an answer, since such a version still
// gives good answers when it does answer.
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
