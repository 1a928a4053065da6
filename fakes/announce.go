// Package fakes holds small stand-ins for what the router serves: model engines, plain services, the rating
// service and the weight store. They are seeded, and their faults can be switched on over HTTP.
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

// announceInterval is the interval of announcements.
const announceInterval = time.Second

// announcer tells entry hosts about an endpoint, a random one each time as a balancer would.
type announcer struct {
	// hosts are the caller addresses of entry hosts.
	hosts    []string
	describe func() model.Endpoint
	client   *http.Client
	wake     chan struct{}
	sequence uint64
}

func newAnnouncer(hosts []string, describe func() model.Endpoint) *announcer {
	return &announcer{hosts: hosts, describe: describe, client: &http.Client{Timeout: 700 * time.Millisecond}, wake: make(chan struct{}, 1)}
}

// trigger asks for an announcement at once.
func (a *announcer) trigger() {
	select {
	case a.wake <- struct{}{}:
	default:
	}
}

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

// announce tells one host, and tries the others in turn where it can't be reached.
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
