package relay

import (
	"maps"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/table"
	"github.com/hickoryshelf/hickoryshelf/tiers"
	"github.com/hickoryshelf/hickoryshelf/ttft"
)

const (
	// minFirstEventTimeout is the least time that an attempt has for the first event of a stream. objectiveShare is
	// the part of the route's objective that an attempt has for a plain answer. Both kinds of attempt have at least
	// estimateFactor times the estimated wait.
	minFirstEventTimeout = 1300 * time.Millisecond
	objectiveShare       = 0.55
	estimateFactor       = 3
	// costUnitTokens is the number of generated tokens that table.Model.Cost is given for.
	// promptTokensPerOutputToken is the number of prompt tokens that cost as much as one generated token.
	costUnitTokens             = 1000
	promptTokensPerOutputToken = 4
	// defaultHoldTime is the assumed hold time of a route before an answer was measured.
	defaultHoldTime = 40 * time.Millisecond
)

// firstEventTimeout returns how long the first event of a stream may take.
func firstEventTimeout(estimate time.Duration) time.Duration {
	return max(minFirstEventTimeout, estimateFactor*estimate)
}

// startTimeout returns how long an attempt may take to begin its answer before another endpoint is asked. uncounted is the
// number of attempts beside it that runs doesn't count yet. If the request may not run again, this is all of the time left.
func (j *job) startTimeout(estimate time.Duration, uncounted int) time.Duration {
	l := time.Until(j.deadline)
	if !j.route.Idempotent() || j.runs+uncounted+1 >= max(1, j.route.Attempts) {
		return l
	}
	if j.route.Kind == table.Stream {
		return min(l, firstEventTimeout(estimate))
	}
	return min(l, max(time.Duration(float64(j.route.Objective)*objectiveShare), estimateFactor*estimate))
}

// busyWindow returns how recently an endpoint must have answered another request to get more time for the first event
// of a stream. It is 0 for plain answers, which get no more time.
func (j *job) busyWindow() time.Duration {
	if j.route.Kind == table.Stream {
		return minFirstEventTimeout
	}
	return 0
}

// maxConnections returns how many connections this host may open to an endpoint: its share of 90 % of the number that
// the endpoint accepts from all hosts, and at least 2.
func (j *job) maxConnections() int {
	return max(2, j.service.MaxConnections*9/10/int(j.relay.entryHosts.Load()))
}

// tierRequest returns the properties of the request by which package tiers chooses a model tier.
func (j *job) tierRequest() tiers.Request {
	q := j.relay.Endpoints.Queue(j.endpointRequest(), time.Now())
	d, l := j.relay.demands.get(j.service.Name)
	return tiers.Request{
		Tiers: j.tiers(q), Errors: j.relay.errors.Rates(j.route.Name, len(j.route.Tiers)),
		AttemptsLeft: max(1, j.route.Attempts) - j.runs - j.successor.uncounted() + 1, TimeLeft: time.Until(j.request.Received.Add(j.route.Objective)),
		Lateness: l, Demand: d, Queue: q.Mean,
	}
}

// tiers returns the model tiers of the request. A running request takes little from others at an endpoint that has
// slots left, so that the time in a slot counts as work only as far as endpoints are full.
func (j *job) tiers(q pick.Queue) []tiers.Tier {
	var r []tiers.Tier
	for _, m := range j.route.Tiers {
		w := j.relay.Prefill.PrefillTime(m, j.modelCost(m), j.request.Prompt.Tokens)
		h := q.Full * float64(j.modelHoldTime(m)) / float64(max(1, j.service.Slots))
		r = append(r, tiers.Tier{
			Wait: q.Least + ttft.BaseLatency + w + j.relay.durations.get(firstEventKey(j.route.Name, m), 0),
			Work: w + time.Duration(h), Price: j.requestCost(m),
		})
	}
	return r
}

// modelCost returns the cost of a model for 1,000 generated tokens, or 0 if the service does not list the model.
func (j *job) modelCost(model string) float64 {
	for _, m := range j.service.Models {
		if m.Name == model {
			return m.Cost
		}
	}
	return 0
}

// requestCost estimates what the request costs on a model, for its prompt tokens and the expected output tokens.
func (j *job) requestCost(model string) float64 {
	p := j.request.Prompt
	return j.modelCost(model) * (float64(p.expectedOutput()) + float64(p.Tokens)/promptTokensPerOutputToken) / costUnitTokens
}

// endpointRequest returns the properties of the request by which package pick chooses an endpoint. Requests of a
// session use the hash of the session in place of that of the request ID, so that a rollout treats them alike. For
// streams, the cache affinity is the hash of all parts of the prompt but the last, which other requests may share.
func (j *job) endpointRequest() pick.Request {
	n := pick.Request{Service: j.service.Name, Slots: j.service.Slots, Work: j.startWork(), SlotTime: j.holdTime(), Draw: j.fraction, Tried: j.triedDirectly(), Avoided: j.avoided, Kind: j.kind()}
	if j.request.Session != "" {
		n.InSession, n.Draw = true, hashFraction(j.request.Session)
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
		n.Affinity, n.CacheSaving = d.Sum64(), j.prefillTime(t)
	}
	return n
}

// triedDirectly returns the endpoints that a direct attempt must not go to.
func (j *job) triedDirectly() map[string]bool {
	if len(j.unreached) == 0 {
		return j.tried
	}
	r := maps.Clone(j.tried)
	maps.Copy(r, j.unreached)
	return r
}

// kind names the route and the model, by which the answers are counted during a rollout.
func (j *job) kind() string { return j.route.Name + " " + j.model() }

// model returns the name of the model that answers, or an empty text if the caller chooses the model.
func (j *job) model() string {
	if len(j.route.Tiers) > 0 {
		return j.route.Tiers[j.tier]
	}
	return ""
}

// prefillTime estimates how long the model that answers takes to read a number of prompt tokens.
func (j *job) prefillTime(tokens int) time.Duration {
	return j.relay.Prefill.PrefillTime(j.model(), j.modelCost(j.model()), tokens)
}

// startWork estimates the time from sending the request to the start of the answer on an idle endpoint.
func (j *job) startWork() time.Duration {
	if j.route.Kind != table.Stream {
		return j.holdTime()
	}
	return ttft.BaseLatency + j.prefillTime(j.request.Prompt.Tokens)
}

// holdTime estimates how long the request occupies an endpoint, from earlier answers of the route and the model.
func (j *job) holdTime() time.Duration { return j.modelHoldTime(j.model()) }

// modelHoldTime returns what holdTime returns where the given model answers.
func (j *job) modelHoldTime(model string) time.Duration {
	return j.relay.durations.get(holdKey(j.route.Name, model), defaultHoldTime)
}

// holdKey is the key in Relay.durations of the time that a request occupies an endpoint.
func holdKey(route, model string) string { return "hold " + route + " " + model }

// firstEventKey is the key in Relay.durations of the time from the head of a stream to its first event.
func firstEventKey(route, model string) string { return "event " + route + " " + model }
