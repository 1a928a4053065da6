package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// RaterHold is what the service that rates answers announces that it holds.
	RaterHold = "rater"
	// raterQueueLength bounds the answers that wait to be rated; more are dropped.
	raterQueueLength = 256
	// raterWorkers is how many answers are rated at once.
	raterWorkers = 4
	raterTimeout = 5 * time.Second
	raterPause   = 500 * time.Millisecond
)

// sample is an answer to be rated, in the form that the rating service takes.
type sample struct {
	Version string            `json:"version"`
	Class   string            `json:"class"`
	Prompt  []json.RawMessage `json:"prompt"`
	Answer  string            `json:"answer"`
}

// score is the rating service's answer.
type score struct {
	Score float64 `json:"score"`
}

// raterQueue has answers rated in the background. Those of versions under doubt go first.
type raterQueue struct {
	gate   *Gate
	urgent chan sample
	usual  chan sample
	stop   context.CancelFunc
	ctx    context.Context
}

func newRaterQueue(g *Gate) *raterQueue {
	q := &raterQueue{gate: g, urgent: make(chan sample, raterQueueLength), usual: make(chan sample, raterQueueLength)}
	q.ctx, q.stop = context.WithCancel(context.Background())
	for range raterWorkers {
		go q.loop()
	}
	return q
}

func (q *raterQueue) close() { q.stop() }

// rateAnswer queues the answer for rating.
func (j *job) rateAnswer(answer string) {
	if j.judged {
		return
	}
	t := j.sample(answer)
	c := j.gate.raters.usual
	s := j.gate.router.State().Routes.Evidence.Stat(route.Subject{Version: t.Version, Class: t.Class})
	if j.decision.ShouldRate || s.Health != route.Healthy {
		c = j.gate.raters.urgent
	}
	select {
	case c <- t:
	default:
		j.gate.metrics.GetOrCreateCounter("hickoryshelf_ratings_dropped_total").Inc()
	}
}

// ratePace reports the time for a token.
func (j *job) ratePace(d time.Duration) {
	j.gate.router.Rate(route.Rating{
		Kind: route.TokenTime, Version: j.decision.Version, Class: j.decision.Terms.Class, Endpoint: j.decision.Endpoint.ID,
		Value: float64(d) / float64(time.Millisecond),
	})
}

func (j *job) sample(answer string) sample {
	return sample{Version: j.decision.Version, Class: j.decision.Terms.Class, Prompt: j.x.fields.Messages, Answer: answer}
}

func (q *raterQueue) loop() {
	for {
		t, ok := q.next()
		if !ok {
			return
		}
		v, err := q.rate(q.ctx, t)
		if err != nil {
			q.gate.metrics.GetOrCreateCounter("hickoryshelf_ratings_failed_total").Inc()
			q.pause()
			continue
		}
		q.gate.router.Rate(route.Rating{Kind: route.Quality, Version: t.Version, Class: t.Class, Value: v})
	}
}

func (q *raterQueue) next() (sample, bool) {
	select {
	case t := <-q.urgent:
		return t, true
	default:
	}
	select {
	case t := <-q.urgent:
		return t, true
	case t := <-q.usual:
		return t, true
	case <-q.ctx.Done():
		return sample{}, false
	}
}

func (q *raterQueue) pause() {
	select {
	case <-time.After(raterPause):
	case <-q.ctx.Done():
	}
}

// rate asks the rating service for the score of an answer, between 0 and 1.
func (q *raterQueue) rate(ctx context.Context, t sample) (float64, error) {
	s := q.gate.router.State()
	p, ok := s.Routes.ChooseEndpoint(route.EndpointQuery{Target: RaterHold, DataCentres: s.DataCentres(), Seed: uint64(time.Now().UnixNano())}, s.Now)
	if !ok {
		return 0, errors.New("no rating service has announced itself")
	}
	b, err := json.Marshal(t)
	if err != nil {
		return 0, err
	}
	c, f := context.WithTimeout(ctx, raterTimeout)
	defer f()
	r, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+p.Endpoint.Address+"/v1/rate", bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	a, err := q.gate.engines.kept.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return 0, errors.New("the rating service answered " + strconv.Itoa(a.StatusCode))
	}
	var v score
	if err := json.NewDecoder(a.Body).Decode(&v); err != nil {
		return 0, err
	}
	return min(1, max(0, v.Score)), nil
}
