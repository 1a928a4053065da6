package main

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// result is what became of a client's request.
type result struct {
	sent   time.Time
	status int
	// by is the version that answered, or empty.
	by string
}

// clients send requests to the entry hosts at a steady rate. A request that fails isn't sent again.
type clients struct {
	deployment *deployment
	host, path string
	pause      time.Duration
	timeout    time.Duration
	stopped    chan struct{}
	group      sync.WaitGroup

	lock    sync.Mutex
	results []result
}

// startClients starts to send.
func (d *deployment) startClients(host, path string, pause, timeout time.Duration) *clients {
	c := &clients{deployment: d, host: host, path: path, pause: pause, timeout: timeout, stopped: make(chan struct{})}
	go c.loop()
	return c
}

func (c *clients) loop() {
	t := time.NewTicker(c.pause)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-t.C:
			q := clientRequest{c, c.deployment.edges[n%len(c.deployment.edges)], time.Now()}
			c.group.Go(q.run)
		case <-c.stopped:
			return
		}
	}
}

// stop ends the sending and waits for the answers.
func (c *clients) stop() {
	close(c.stopped)
	c.group.Wait()
}

// clientRequest is one request.
type clientRequest struct {
	clients *clients
	edge    *process
	sent    time.Time
}

func (q clientRequest) run() {
	c := q.clients
	i := fmt.Sprintf("%016x", rand.Uint64())
	r := result{sent: q.sent}
	s, b, err := send(http.MethodGet, fmt.Sprintf("http://%s:%d%s", q.edge.ip, frontPort, c.path), c.host, i, c.timeout)
	if err == nil {
		r.status = s
		if f := strings.Fields(b); s == http.StatusOK && len(f) > 3 {
			r.by = f[3]
		}
	}
	c.lock.Lock()
	c.results = append(c.results, r)
	c.lock.Unlock()
	c.deployment.record.detail("request %s sent at %.3f to %s: status %d by %q (%v)", i, q.sent.Sub(c.deployment.record.began).Seconds(), q.edge.name, r.status, r.by, why(err))
}

// why returns the kind of an error in a word.
func why(err error) string {
	var n net.Error
	switch {
	case err == nil:
		return "answered"
	case errors.As(err, &n) && n.Timeout():
		return "no answer in time"
	}
	return "channel closed or refused"
}

// send sends one request on a channel of its own.
func send(method, url, host, id string, timeout time.Duration) (int, string, error) {
	q, err := http.NewRequest(method, url, nil)
	if err != nil {
		return 0, "", err
	}
	q.Host = host
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	q.Header.Set("Authorization", "Bearer "+apiKey)
	c := http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	a, err := c.Do(q)
	if err != nil {
		return 0, "", err
	}
	defer a.Body.Close() //nolint:errcheck // the body is read to its end
	b, err := io.ReadAll(a.Body)
	return a.StatusCode, string(b), err
}

// apiKey is the key of the only tenant.
const apiKey = "n2ctnfzs989anu6wsjnb"

// share returns how many requests were sent in a time, and how many of them got a success.
func (c *clients) share(from, to time.Time) (served, sent int) {
	c.lock.Lock()
	defer c.lock.Unlock()
	for _, r := range c.results {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		sent++
		if r.status == http.StatusOK {
			served++
		}
	}
	return served, sent
}

// summarize notes for each second what the requests sent in it got.
func (c *clients) summarize() {
	c.lock.Lock()
	defer c.lock.Unlock()
	m := map[int]map[string]int{}
	for _, r := range c.results {
		s := int(r.sent.Sub(c.deployment.record.began).Seconds())
		if m[s] == nil {
			m[s] = map[string]int{}
		}
		m[s][strings.TrimSpace(fmt.Sprint(r.status, " ", r.by))]++
	}
	for _, s := range slices.Sorted(maps.Keys(m)) {
		c.deployment.record.detail("requests sent in second %d, by status (0: none) and version: %v", s, m[s])
	}
}
