package relay

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/table"
	"github.com/hickoryshelf/hickoryshelf/tiers"
	"github.com/hickoryshelf/hickoryshelf/ttft"
)

const (
	// minFirstEventTimeout is how long the first event of a stream is waited for at least, patiencePart the part of
	// the objective for which a plain answer is, and patienceTimes how many times the estimate.
	minFirstEventTimeout = 1300 * time.Millisecond
	objectiveShare       = 0.55
	estimateFactor       = 3
	// costUnitTokens is the number of generated tokens that a model's cost is for, and readParts how many read
	// tokens cost as much as a generated one.
	costUnitTokens             = 1000
	promptTokensPerOutputToken = 4
	// defaultHoldTime is the assumed time of a plain answer before one was measured.
	defaultHoldTime = 40 * time.Millisecond
)

// startTimeout is how long the start of an answer is waited for before the request is sent elsewhere too: as
// long as the request has time where it may not run twice.
func (j *job) startTimeout(estimate time.Duration) time.Duration {
	l := time.Until(j.deadline)
	if !j.route.Idempotent() || j.runs+1 >= max(1, j.route.Attempts) {
		return l
	}
	if j.route.Kind == table.Stream {
		return min(l, max(minFirstEventTimeout, estimateFactor*estimate))
	}
	return min(l, max(time.Duration(float64(j.route.Objective)*objectiveShare), estimateFactor*estimate))
}

// busyWindow is how long ago an endpoint may have answered others to be given more time for a first event. A
// plain answer is asked for elsewhere in any case.
func (j *job) busyWindow() time.Duration {
	if j.route.Kind == table.Stream {
		return minFirstEventTimeout
	}
	return 0
}

// maxConnections is this host's part of the maxConnections that an endpoint takes.
func (j *job) maxConnections() int {
	return max(2, j.service.MaxConnections*9/10/int(j.relay.entryHosts.Load()))
}

// tierRequest describes the request to the choice of a size.
func (j *job) tierRequest() tiers.Ask {
	l, m := j.relay.Endpoints.Backlogs(j.service.Name)
	p := j.request.Prompt
	a := tiers.Ask{
		Rank: j.route.Priority, Size: float64(p.size()) / max(1, j.relay.promptSizes.get(j.route.Name)),
		Attempts: max(1, j.route.Attempts) - j.runs + 1, Backlog: m, Left: time.Until(j.request.Received.Add(j.route.Objective)),
	}
	for _, n := range j.route.Sizes {
		r := j.relay.Prefill.Read(n, j.modelCost(n), p.Tokens)
		a.Options = append(a.Options, tiers.Option{Wait: l + ttft.StartCost + r, Work: r, Price: j.requestCost(n)})
	}
	return a
}

// modelCost is that of a model for 1,000 generated tokens, or 0 where it isn't known.
func (j *job) modelCost(model string) float64 {
	for _, m := range j.service.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// requestCost is what a model costs for the request.
func (j *job) requestCost(model string) float64 {
	p := j.request.Prompt
	return j.modelCost(model) * (float64(p.expectedOutput()) + float64(p.Tokens)/promptTokensPerOutputToken) / costUnitTokens
}

// endpointRequest describes the request to the choice of an endpoint.
func (j *job) endpointRequest() pick.Need {
	n := pick.Need{Service: j.service.Name, Slots: j.service.Slots, Work: j.startWork(), Hold: j.holdTime(), Draw: j.fraction, Tried: j.tried}
	if j.request.Session != "" {
		n.Bound, n.Draw = true, hashFraction(j.request.Session)
	}
	n.Stream = j.route.Kind == table.Stream
	if n.Stream && len(j.request.Prompt.Parts) > 1 {
		p := j.request.Prompt.Parts
		d := xxhash.New()
		t := 0
		for _, v := range p[:len(p)-1] {
			_, _ = d.WriteString(v.ID) // a hash can't fail
			t += v.Tokens
		}
		n.Affinity, n.Saved = d.Sum64(), j.prefillTime(t)
	}
	return n
}

// model names the model that answers.
func (j *job) model() string {
	if len(j.route.Sizes) > 0 {
		return j.route.Sizes[j.tier]
	}
	return ""
}

// prefillTime is the time in which the model that answers reads prompt tokens.
func (j *job) prefillTime(tokens int) time.Duration {
	return j.relay.Prefill.Read(j.model(), j.modelCost(j.model()), tokens)
}

// startWork is the estimated time to the start of the answer on a free endpoint.
func (j *job) startWork() time.Duration {
	if j.route.Kind != table.Stream {
		return j.holdTime()
	}
	return ttft.StartCost + j.prefillTime(j.request.Prompt.Tokens)
}

// holdTime is the estimated time that the request occupies an endpoint.
func (j *job) holdTime() time.Duration {
	return j.relay.durations.get("hold "+j.route.Name, defaultHoldTime)
}
