package gate

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/hickoryshelf/hickoryshelf/memory"
	"github.com/hickoryshelf/hickoryshelf/route"
)

const (
	// RaterService is the name under which the rating service announces itself.
	RaterService = "rater"
	// ratingQueueLength bounds each of the two queues of answers to be rated. Answers that find their queue
	// full are dropped and counted.
	ratingQueueLength = 256
	// ratingWorkers is the number of queued answers that are rated concurrently.
	ratingWorkers = 4
	ratingTimeout = 5 * time.Second
	// ratingMemoryMB and ratingOwnerPart make the account of the queued answers: 8 MiB, which one endpoint may use up. It is
	// another one than that of the answers in flight, so that those don't wait for ratings.
	ratingMemoryMB  = 64
	ratingOwnerPart = 1
	// ratingBackoff is the pause of a worker after a failed call of the rating service.
	ratingBackoff = 500 * time.Millisecond
)

// ratingRequest is the body of a request to the rating service: an answer, its prompt, and the version and
// task class that it came from.
type ratingRequest struct {
	Version string            `json:"version"`
	Class   string            `json:"class"`
	Prompt  []json.RawMessage `json:"prompt"`
	Answer  string            `json:"answer"`
}

// ratingEntry is a queued request, and the memory that its answer takes.
type ratingEntry struct {
	ratingRequest
	share *memory.Share
}

// ratingResponse is the body of the rating service's response.
type ratingResponse struct {
	Score float64 `json:"score"`
}

// ratingQueue rates delivered answers in the background. Answers in urgent, which come from versions that
// aren't healthy or for which the decision asked for a rating, are rated before the answers in normal.
type ratingQueue struct {
	gate   *Gate
	urgent chan ratingEntry
	normal chan ratingEntry
	// memory bounds the answers in both.
	memory *memory.Account
	stop   context.CancelFunc
	ctx    context.Context
}

// newRatingQueue returns a queue and starts its workers.
func newRatingQueue(g *Gate) *ratingQueue {
	q := &ratingQueue{
		gate: g, memory: memory.NewAccountOf(ratingMemoryMB, ratingOwnerPart),
		urgent: make(chan ratingEntry, ratingQueueLength), normal: make(chan ratingEntry, ratingQueueLength),
	}
	q.ctx, q.stop = context.WithCancel(context.Background())
	for range ratingWorkers {
		go q.loop()
	}
	return q
}

func (q *ratingQueue) close() { q.stop() }

// queueRating queues the answer to be rated in the background, unless it has been rated already. It never
// blocks: the answer is dropped if the queue is full or the account has no room for it.
func (j *job) queueRating(answer string) {
	if j.rated {
		return
	}
	t := ratingEntry{j.ratingRequest(answer), j.gate.ratings.memory.NewShare(j.decision.Endpoint.ID)}
	if t.share.Resize(int64(len(answer))) != nil {
		j.gate.ratings.countDropped()
		return
	}
	c := j.gate.ratings.normal
	s := j.gate.router.State().Routes.Evidence.Stat(route.Subject{Version: t.Version, Class: t.Class})
	if j.decision.ShouldRate || s.Health != route.Healthy {
		c = j.gate.ratings.urgent
	}
	select {
	case c <- t:
	default:
		t.share.Release()
		j.gate.ratings.countDropped()
	}
}

// countDropped counts an answer that isn't rated.
func (q *ratingQueue) countDropped() {
	q.gate.metrics.GetOrCreateCounter("hickoryshelf_ratings_dropped_total").Inc()
}

// reportTokenTime reports d, the time per output token of the current attempt, as a rating in milliseconds.
func (j *job) reportTokenTime(d time.Duration) {
	j.gate.router.Rate(route.Rating{
		Kind: route.TokenTime, Version: j.decision.Version, Class: j.decision.Terms.Class, Endpoint: j.decision.Endpoint.ID,
		Value: float64(d) / float64(time.Millisecond),
	})
}

// ratingRequest returns the request to rate an answer to the current attempt.
func (j *job) ratingRequest(answer string) ratingRequest {
	return ratingRequest{Version: j.decision.Version, Class: j.decision.Terms.Class, Prompt: j.request.chat.Messages, Answer: answer}
}

// loop rates queued answers until the queue is closed. After a failure it waits for ratingBackoff.
func (q *ratingQueue) loop() {
	for {
		t, ok := q.next()
		if !ok {
			return
		}
		v, err := q.rate(q.ctx, t.ratingRequest)
		t.share.Release()
		if err != nil {
			q.gate.metrics.GetOrCreateCounter("hickoryshelf_ratings_failed_total").Inc()
			q.backOff()
			continue
		}
		q.gate.router.Rate(route.Rating{Kind: route.Quality, Version: t.Version, Class: t.Class, Value: v})
	}
}

// next waits for the next answer, taking urgent ones first. It returns false once the queue is closed.
func (q *ratingQueue) next() (ratingEntry, bool) {
	select {
	case t := <-q.urgent:
		return t, true
	default:
	}
	select {
	case t := <-q.urgent:
		return t, true
	case t := <-q.normal:
		return t, true
	case <-q.ctx.Done():
		return ratingEntry{}, false
	}
}

func (q *ratingQueue) backOff() {
	select {
	case <-time.After(ratingBackoff):
	case <-q.ctx.Done():
	}
}

// maxRatingBytes bounds the answer of the rating service.
const maxRatingBytes = 64 << 10

// rate asks the rating service for the score of an answer and limits it to the range from 0 to 1. It fails if
// no rating service is known, or if the chosen one doesn't answer with status 200 and a score within
// ratingTimeout.
func (q *ratingQueue) rate(ctx context.Context, t ratingRequest) (float64, error) {
	s := q.gate.router.State()
	p, ok := s.Routes.ChooseEndpoint(route.EndpointQuery{Target: RaterService, DataCentres: s.DataCentres(), Seed: uint64(time.Now().UnixNano())}, s.Now)
	if !ok {
		return 0, errors.New("no rating service has announced itself")
	}
	b, err := json.Marshal(t)
	if err != nil {
		return 0, err
	}
	c, f := context.WithTimeout(ctx, ratingTimeout)
	defer f()
	r, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+p.Endpoint.Address+"/v1/rate", bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	a, err := q.gate.engines.keepAlive.Do(r)
	if err != nil {
		return 0, err
	}
	defer func() { _ = a.Body.Close() }()
	if a.StatusCode != http.StatusOK {
		return 0, errors.New("the rating service answered " + strconv.Itoa(a.StatusCode))
	}
	var v ratingResponse
	if err := json.NewDecoder(io.LimitReader(a.Body, maxRatingBytes)).Decode(&v); err != nil {
		return 0, err
	}
	return min(1, max(0, v.Score)), nil
}
