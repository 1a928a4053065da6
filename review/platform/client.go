package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// clients send requests to entry hosts at a steady rate, each on kept channels.
type clients struct {
	cluster *cluster
	method  string
	path    string
	pause   time.Duration
	stop    chan struct{}
	group   sync.WaitGroup

	lock   sync.Mutex
	sent   map[string]time.Time
	served int
	others int
	// answers holds all answers in their order.
	answers []answer
}

// answer is what a client got for one request.
type answer struct {
	machine string
	sent    time.Time
	status  string
}

// startClients starts a number of clients that send a request each pause.
func startClients(c *cluster, n int, method, path string, pause time.Duration) *clients {
	l := &clients{cluster: c, method: method, path: path, pause: pause, stop: make(chan struct{}), sent: map[string]time.Time{}}
	for k := range n {
		v := client{l, k}
		l.group.Go(v.run)
	}
	return l
}

// close stops the clients and waits for their last answers.
func (l *clients) close() {
	close(l.stop)
	l.group.Wait()
}

// sentAt returns when a request was sent.
func (l *clients) sentAt(id string) (time.Time, bool) {
	l.lock.Lock()
	defer l.lock.Unlock()
	t, ok := l.sent[id]
	return t, ok
}

// client is one client.
type client struct {
	clients *clients
	number  int
}

func (v client) run() {
	l := v.clients
	h := http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{}}
	for n := 0; ; n++ {
		select {
		case <-l.stop:
			return
		case <-time.After(l.pause):
		}
		p := l.cluster.entries[(v.number+n)%len(l.cluster.entries)]
		d := fmt.Sprintf("c%d-%d", v.number, n)
		q, err := http.NewRequest(l.method, "http://"+p.frontAddress()+l.path, strings.NewReader(""))
		if err != nil {
			return
		}
		q.Host = "desk.example"
		q.Header.Set("X-Request-Id", d)
		q.Header.Set("X-Deadline-Ms", "1500")
		t := time.Now()
		l.lock.Lock()
		l.sent[d] = t
		l.lock.Unlock()
		s := "no answer"
		if a, err := h.Do(q); err == nil {
			_, _ = io.Copy(io.Discard, a.Body) // only the status is looked at
			_ = a.Body.Close()
			s = a.Status
		}
		l.lock.Lock()
		l.answers = append(l.answers, answer{p.name, t, s})
		if strings.HasPrefix(s, "200") {
			l.served++
		} else {
			l.others++
		}
		l.lock.Unlock()
		l.cluster.record.write("client: sent %s to %s, got %s", d, p.name, s)
	}
}
