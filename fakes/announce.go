// Package fakes provides stand-ins for the systems behind the router: model engines, plain services and the rating
// service. The quality of the engines' answers is drawn with a seed. Faults of engines and services are injected over
// HTTP.
package fakes

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// announceInterval is the time between two announcements of an endpoint.
const announceInterval = time.Second

// announcer announces an endpoint to a random entry host every time, as if through a load balancer.
type announcer struct {
	// hosts are the caller addresses of entry hosts.
	hosts []string
	// describe returns the current state of the endpoint; the announcer sets its sequence number.
	describe func() model.Endpoint
	client   *http.Client
	wake     chan struct{}
	sequence uint64
}

// newAnnouncer returns an announcer whose requests time out after 700 ms.
func newAnnouncer(hosts []string, describe func() model.Endpoint) *announcer {
	return &announcer{hosts: hosts, describe: describe, client: &http.Client{Timeout: 700 * time.Millisecond}, wake: make(chan struct{}, 1)}
}

// trigger requests an announcement at once. It doesn't block.
func (a *announcer) trigger() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

// loop announces the endpoint at the start, at every interval and on each trigger, until the context ends.
func (a *announcer) loop(ctx context.Context) {
	t := time.NewTicker(announceInterval)
	defer t.Stop()
	for {
		a.announce(ctx)
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		case <-a.wake:
		}
	}
}

// announce sends an announcement to the hosts in random order until one accepts it.
func (a *announcer) announce(ctx context.Context) {
	e := a.describe()
	a.sequence++
	e.Sequence = a.sequence
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	for _, i := range rand.Perm(len(a.hosts)) {
		if a.post(ctx, a.hosts[i], b) {
			return
		}
	}
}

// post sends an announcement to a host and reports whether the host accepted it with status 204.
func (a *announcer) post(ctx context.Context, host string, body []byte) bool {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+host+"/announce", bytes.NewReader(body))
	if err != nil {
		return false
	}
	r, err := a.client.Do(q)
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusNoContent
}
