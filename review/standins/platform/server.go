package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// heartbeat is the interval of a server's status reports.
const heartbeat = 1200 * time.Millisecond

// server is a stand-in for a server of a service. It reports to the control hosts and answers plain requests.
type server struct {
	id, service, version, zone string
	deployment                 *deployment
	listener                   net.Listener
	http                       *http.Server
	stopped                    chan struct{}

	lock     sync.Mutex
	state    string
	sequence int64
	// work is how long a request runs, and badShare the share of requests that it answers with 500.
	work     time.Duration
	badShare float64
	runs     int
	gone     bool
}

// startServer starts a server in the n-th zone.
func (d *deployment) startServer(service, version string, n int) (*server, error) {
	d.lock.Lock()
	d.used++
	k := d.used
	d.lock.Unlock()
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:8080", d.subnet, serverOctet+k))
	if err != nil {
		return nil, err
	}
	s := &server{
		id: fmt.Sprintf("i-%08x", rand.Uint32()), service: service, version: version, zone: zoneOf(n), deployment: d, listener: l, stopped: make(chan struct{}),
		state: "ready", work: 20 * time.Millisecond,
	}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	d.lock.Lock()
	d.servers = append(d.servers, s)
	d.lock.Unlock()
	d.record.note("server %s of %s %s starts at %s in %s", s.id, service, version, l.Addr(), s.zone)
	q := acceptor{s}
	go q.run()
	go s.loop()
	return s, nil
}

// acceptor serves the requests of a server.
type acceptor struct{ server *server }

func (a acceptor) run() { _ = a.server.http.Serve(a.server.listener) } // returns once the server has ended

// loop reports until the server ends.
func (s *server) loop() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		s.report()
		select {
		case <-t.C:
		case <-s.stopped:
			return
		}
	}
}

// report sends a status report to the control hosts in turn, from one drawn at random on, until one acknowledges it.
func (s *server) report() bool {
	s.lock.Lock()
	s.sequence++
	b := map[string]any{
		"service": s.service, "addr": s.listener.Addr().String(), "zone": s.zone, "version": s.version, "slots": 6, "state": s.state,
		"cold-left-ms": 0, "seq": s.sequence,
	}
	s.lock.Unlock()
	l := s.deployment.controls
	k := rand.IntN(len(l))
	for n := range l {
		c, _, err := s.deployment.call(l[(k+n)%len(l)], http.MethodPost, "/instances/"+s.id+"/heartbeat", b, time.Second)
		if err == nil && c == http.StatusOK {
			return true
		}
	}
	return false
}

// turnBad makes the server answer a share of its requests with 500.
func (s *server) turnBad(share float64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.badShare = share
}

// crash ends the server at once.
func (s *server) crash() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.gone {
		return
	}
	s.gone = true
	close(s.stopped)
	_ = s.http.Close() // the connections end
}

// ServeHTTP runs a request, unless it is meant for another server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("X-Instance-Id", s.id)
		return
	}
	i := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", i)
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body) // a broken body is the client's
	s.lock.Lock()
	s.runs++
	n, d, bad := s.runs, s.work, rand.Float64() < s.badShare
	s.lock.Unlock()
	time.Sleep(d)
	w.Header().Set("X-Server-Signature", fmt.Sprintf("%s.%d", s.id, n))
	if bad {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "answer of %s %s to %s", s.service, s.version, i) // a client that has left needs no answer
}

// ran returns the number of requests that ran here.
func (s *server) ran() int {
	s.lock.Lock()
	defer s.lock.Unlock()
	return s.runs
}
