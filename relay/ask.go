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
	// leastPatience is how long the first event of a stream is waited for at least, patiencePart the part of
	// the objective for which a plain answer is, and patienceTimes how many times the estimate.
	leastPatience = 1300 * time.Millisecond
	patiencePart  = 0.55
	patienceTimes = 3
	// costTokens is the number of generated tokens that a model's cost is for, and readParts how many read
	// tokens cost as much as a generated one.
	costTokens = 1000
	readParts  = 4
	// firstPlain is the assumed time of a plain answer before one was measured.
	firstPlain = 40 * time.Millisecond
)

// patience is how long the start of an answer is waited for before the request is sent elsewhere too: as
// long as the request has time where it may not run twice.
func (j *job) patience(estimate time.Duration) time.Duration {
	l := time.Until(j.deadline)
	if !j.route.Idempotent() || j.runs+1 >= max(1, j.route.Attempts) {
		return l
	}
	if j.route.Kind == table.Stream {
		return min(l, max(leastPatience, patienceTimes*estimate))
	}
	return min(l, max(time.Duration(float64(j.route.Objective)*patiencePart), patienceTimes*estimate))
}

// busySign is how long ago an endpoint may have answered others to be given more time for a first event. A
// plain answer is asked for elsewhere in any case.
func (j *job) busySign() time.Duration {
	if j.route.Kind == table.Stream {
		return leastPatience
	}
	return 0
}

// connections is this host's part of the connections that an endpoint takes.
func (j *job) connections() int {
	return max(2, j.service.MaxConnections*9/10/int(j.relay.entries.Load()))
}

// ask describes the request to the choice of a size.
func (j *job) ask() tiers.Request {
	l, m := j.relay.Set.Backlogs(j.service.Name)
	p := j.request.Prompt
	a := tiers.Request{
		Priority: j.route.Priority, RelativeSize: float64(p.weight()) / max(1, j.relay.weights.get(j.route.Name)),
		AttemptsLeft: max(1, j.route.Attempts) - j.runs + 1, Backlog: m, TimeLeft: time.Until(j.request.Received.Add(j.route.Objective)),
	}
	for _, n := range j.route.Tiers {
		r := j.relay.Paces.PrefillTime(n, j.cost(n), p.Tokens)
		a.Tiers = append(a.Tiers, tiers.Tier{Wait: l + ttft.BaseLatency + r, Work: r, Price: j.price(n)})
	}
	return a
}

// cost is that of a model for 1,000 generated tokens, or 0 where it isn't known.
func (j *job) cost(model string) float64 {
	for _, m := range j.service.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// price is what a model costs for the request.
func (j *job) price(model string) float64 {
	p := j.request.Prompt
	return j.cost(model) * (float64(p.expected()) + float64(p.Tokens)/readParts) / costTokens
}

// need describes the request to the choice of an endpoint.
func (j *job) need() pick.Request {
	n := pick.Request{Service: j.service.Name, Slots: j.service.Slots, Work: j.work(), SlotTime: j.hold(), Draw: j.draw, Tried: j.tried}
	if j.request.Session != "" {
		n.InSession, n.Draw = true, draw(j.request.Session)
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
		n.Affinity, n.CacheSaving = d.Sum64(), j.read(t)
	}
	return n
}

// model names the model that answers.
func (j *job) model() string {
	if len(j.route.Tiers) > 0 {
		return j.route.Tiers[j.size]
	}
	return ""
}

// read is the time in which the model that answers reads prompt tokens.
func (j *job) read(tokens int) time.Duration {
	return j.relay.Paces.PrefillTime(j.model(), j.cost(j.model()), tokens)
}

// work is the estimated time to the start of the answer on a free endpoint.
func (j *job) work() time.Duration {
	if j.route.Kind != table.Stream {
		return j.hold()
	}
	return ttft.BaseLatency + j.read(j.request.Prompt.Tokens)
}

// hold is the estimated time that the request occupies an endpoint.
func (j *job) hold() time.Duration {
	return j.relay.times.get("hold "+j.route.Name, firstPlain)
}
