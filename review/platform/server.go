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

// server is a stand-in for a server of a plain service. It reports to control hosts and runs requests, as PROTOCOL.md says.
type server struct {
	cluster       *cluster
	id, zone      string
	service, addr string
	work          time.Duration
	http          *http.Server

	lock     sync.Mutex
	state    string
	sequence int64
	silent   bool
	arrivals []arrival
	stop     chan struct{}
}

// arrival is a request that a server ran.
type arrival struct {
	id string
	at time.Time
}

// startServer starts a server that reports that it is ready.
func startServer(c *cluster, n int, service string, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:0", c.subnet, 100+n))
	if err != nil {
		return nil, err
	}
	s := &server{cluster: c, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: fmt.Sprintf("zone-%d", n%3), service: service, addr: l.Addr().String(), work: work, state: "ready", stop: make(chan struct{})}
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	a := acceptor{s, l}
	go a.run()
	go s.loop()
	return s, nil
}

// acceptor serves the requests of a server.
type acceptor struct {
	server   *server
	listener net.Listener
}

func (a acceptor) run() { _ = a.server.http.Serve(a.listener) } // ends with close

// loop sends a status report about every heartbeat until the server is silent.
func (s *server) loop() {
	t := time.NewTicker(heartbeat)
	defer t.Stop()
	for {
		s.lock.Lock()
		q := s.silent
		s.sequence++
		b := map[string]any{"service": s.service, "addr": s.addr, "zone": s.zone, "version": "v1", "slots": 64, "state": s.state, "cold-left-ms": 0, "seq": s.sequence}
		s.lock.Unlock()
		if q {
			return
		}
		if _, _, err := s.cluster.call(rand.IntN(len(s.cluster.controls)), http.MethodPost, "/instances/"+s.id+"/heartbeat", b); err != nil {
			s.cluster.record.write("server %s: a status report has no ack: %v", s.id, err)
		}
		select {
		case <-t.C:
		case <-s.stop:
			return
		}
	}
}

// deregister says that the server leaves, without a report that it is draining before. It serves on. The control host that
// acknowledged it is returned.
func (s *server) deregister(control int) (*process, error) {
	s.lock.Lock()
	s.silent = true
	s.lock.Unlock()
	s.cluster.record.write("server %s: sends deregister", s.id)
	p, _, err := s.cluster.call(control, http.MethodPost, "/instances/"+s.id+"/deregister", map[string]any{})
	return p, err
}

// close ends the server.
func (s *server) close() {
	close(s.stop)
	_ = s.http.Close() // ends its connections
}

// ServeHTTP runs a request, or answers 421 if it is for another server.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", d)
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != s.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	s.lock.Lock()
	s.arrivals = append(s.arrivals, arrival{d, time.Now()})
	s.lock.Unlock()
	s.cluster.record.write("server %s: runs %s", s.id, d)
	time.Sleep(s.work)
	w.Header().Set("X-Server-Signature", s.id+"."+d)
	_, _ = io.WriteString(w, "answer to "+d) // a client that has left needs no answer
}

// arrived returns the requests that the server ran.
func (s *server) arrived() []arrival {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]arrival(nil), s.arrivals...)
}
