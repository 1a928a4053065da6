package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	// brittleServers is the number of servers, brittleSlots how many requests one runs at once, and brittleRoom how many more wait there:
	// fewerRoom once it has been brittle for contactTime.
	brittleServers = 6
	brittleSlots   = 6
	brittleRoom    = 4
	fewerRoom      = 2
	// brittleMost is what Server-Brittle says: a server that turns more requests away in a second falls over, for fallTime.
	brittleMost = 10
	fallTime    = 3 * time.Second
	// contactTime is contact-ms of the deployment.
	contactTime = 3 * time.Second
	// meanWork is how long a request runs on average.
	meanWork = 100 * time.Millisecond
	// usualLoad is the share of the servers' capacity that clients take, and burstFactor what they take of that in a burst of burstTime.
	usualLoad   = 0.6
	burstFactor = 1.7
	burstTime   = 3 * time.Second
)

// brittleServer is a stand-in for a server with slots and little room to wait. While it is brittle it says so in all its answers.
type brittleServer struct {
	deployment    *deployment
	address, zone string

	lock sync.Mutex
	// id, born, sequence and http are those of the present start; running and waiting are its requests.
	id               string
	born             int64
	sequence         int
	http             *http.Server
	running, waiting int
	freed            chan struct{}
	down, ended      bool
	// brittle is set while it says that it is brittle, and saidAt is when it first did.
	brittle bool
	saidAt  time.Time
	// turnedAway holds when it turned requests away in the last second, and rejected how many in all.
	turnedAway []time.Time
	rejected   int
	// falls is how often it fell over, and cut how many requests it ran then.
	falls, cut int
}

// start starts the server anew, with a new ID.
func (s *brittleServer) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.id, s.born, s.sequence = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0
	s.running, s.waiting, s.turnedAway, s.down = 0, 0, nil, false
	s.freed = make(chan struct{}, brittleRoom)
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	s.deployment.record.note("server %s starts at %s in %s", s.id, s.address, s.zone)
	a := brittleStart{s, s.http, l, s.id}
	go a.serve()
	go a.report()
	return nil
}

// brittleStart is one start of a server.
type brittleStart struct {
	server   *brittleServer
	http     *http.Server
	listener net.Listener
	id       string
}

func (a brittleStart) serve() { _ = a.http.Serve(a.listener) } // returns once the server has ended

// report sends status reports until the server ends.
func (a brittleStart) report() {
	for s := a.server; ; time.Sleep(heartbeat) {
		s.lock.Lock()
		s.sequence++
		o := s.down || s.ended || s.id != a.id
		b := map[string]any{
			"service": lateService, "addr": s.address, "zone": s.zone, "version": "v1", "slots": brittleSlots, "state": "ready", "cold-left-ms": 0, "seq": s.sequence,
			"born": s.born,
		}
		s.lock.Unlock()
		if o {
			return
		}
		l := s.deployment.controls
		for _, k := range rand.Perm(len(l)) {
			if c, _, err := s.deployment.call(l[k], http.MethodPost, "/instances/"+a.id+"/heartbeat", b, time.Second); err == nil && c == http.StatusOK {
				break
			}
		}
	}
}

// becomeBrittle makes the server say that it is brittle from now on.
func (s *brittleServer) becomeBrittle() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.brittle = true
}

// end ends the server.
func (s *brittleServer) end() {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.ended = true
	if !s.down {
		_ = s.http.Close() // the connections end
	}
}

// ServeHTTP runs a request, or turns it away if there is no room.
func (s *brittleServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a broken body is the client's
	i := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", i)
	s.lock.Lock()
	id, b := s.id, s.brittle
	if b && s.saidAt.IsZero() {
		s.saidAt = time.Now()
	}
	s.lock.Unlock()
	w.Header().Set("X-Instance-Id", id)
	if b {
		w.Header().Set("Server-Brittle", strconv.Itoa(brittleMost))
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.enter(r) {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(time.Duration(float64(meanWork) * (0.5 + rand.Float64())))
	s.leave()
	w.Header().Set("X-Server-Signature", id)
	_, _ = fmt.Fprintf(w, "answer of %s v1 to %s", lateService, i) // a client that has left needs no answer
}

// enter waits for a slot. It returns false if there is no room to wait, or the client has left.
func (s *brittleServer) enter(r *http.Request) bool {
	s.lock.Lock()
	if s.running < brittleSlots {
		s.running++
		s.lock.Unlock()
		return true
	}
	m := brittleRoom
	if s.isSettled() {
		m = fewerRoom
	}
	if s.waiting >= m {
		s.turnAway()
		s.lock.Unlock()
		return false
	}
	s.waiting++
	f := s.freed
	s.lock.Unlock()
	select {
	case <-f:
		return true
	case <-r.Context().Done():
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.waiting > 0 {
		s.waiting--
	}
	return false
}

// leave gives a slot to a request that waits, or frees it.
func (s *brittleServer) leave() {
	s.lock.Lock()
	defer s.lock.Unlock()
	switch {
	case s.waiting > 0:
		s.waiting--
		s.freed <- struct{}{}
	case s.running > 0:
		s.running--
	}
}

// isSettled reports whether the server has been brittle for contactTime.
func (s *brittleServer) isSettled() bool {
	return s.brittle && !s.saidAt.IsZero() && time.Since(s.saidAt) > contactTime
}

// turnAway counts a request that is turned away, and lets the server fall over if it is brittle and these are too many in a second.
func (s *brittleServer) turnAway() {
	s.rejected++
	s.turnedAway = append(s.turnedAway, time.Now())
	for time.Since(s.turnedAway[0]) > time.Second {
		s.turnedAway = s.turnedAway[1:]
	}
	if len(s.turnedAway) <= brittleMost || !s.isSettled() || s.down || s.ended {
		return
	}
	s.falls++
	s.cut += s.running
	s.down = true
	s.deployment.record.note("server %s has turned %d requests away in a second and falls over; it ran %d", s.id, len(s.turnedAway), s.running)
	f := fall{s, s.http}
	go f.run()
}

// fall is one fall of a server: it ends, and comes back after fallTime.
type fall struct {
	server *brittleServer
	http   *http.Server
}

func (f fall) run() {
	_ = f.http.Close() // the connections end
	time.Sleep(fallTime)
	s := f.server
	s.lock.Lock()
	e := s.ended
	s.lock.Unlock()
	if e {
		return
	}
	if err := s.start(); err != nil {
		s.deployment.record.note("the server at %s can't start again: %v", s.address, err)
	}
}

// brittle plays servers that turn brittle and then get a burst of requests. Without trouble they don't turn brittle.
func brittle(p *play) (bool, error) {
	d := p.deployment
	if err := d.begin(lateConfig()); err != nil {
		return false, err
	}
	var l []*brittleServer
	for k := range brittleServers {
		s := &brittleServer{deployment: d, address: fmt.Sprintf("%s.%d:8080", d.subnet, serverOctet+k), zone: zoneOf(k)}
		if err := s.start(); err != nil {
			return false, err
		}
		defer s.end()
		l = append(l, s)
	}
	if err := d.awaitServed(); err != nil {
		return false, err
	}
	u := usualLoad * brittleServers * brittleSlots / meanWork.Seconds() // requests a second
	c := d.startClients(lateHost, "/pufi791/1", time.Duration(float64(time.Second)/u), 1500*time.Millisecond)
	time.Sleep(6 * time.Second)
	b := time.Now()
	if p.troubled {
		d.record.note("all servers of the service say that they are brittle from now on")
		for _, s := range l {
			s.becomeBrittle()
		}
	}
	time.Sleep(2 * contactTime)
	d.record.note("a burst begins")
	k := time.Now()
	m := d.startClients(lateHost, "/pufi791/1", time.Duration(float64(time.Second)/u/(burstFactor-1)), 1500*time.Millisecond)
	time.Sleep(burstTime)
	m.stop()
	d.record.note("the burst has ended")
	time.Sleep(7 * time.Second)
	c.stop()
	c.summarize()
	s, n := c.share(time.Time{}, b)
	d.record.note("of the usual requests %d of %d were served before that", s, n)
	s, n = c.share(b, k)
	d.record.note("from then on until the burst: %d of %d", s, n)
	s, n = c.share(k, time.Now())
	d.record.note("since the burst began: %d of %d", s, n)
	f, q, t := 0, 0, 0
	for _, o := range l {
		o.lock.Lock()
		f, q, t = f+o.falls, q+o.cut, t+o.rejected
		o.lock.Unlock()
	}
	d.record.note("%d servers have turned %d requests away and fallen over %d times, in which they cut %d requests that they ran; at most %.1f falls are allowed", len(l), t, f, q, allowedFalls)
	if n == 0 {
		return false, fmt.Errorf("no requests were sent")
	}
	return float64(f) > allowedFalls, nil
}

// allowedFalls is how often the servers may fall over in one time in which they are brittle.
const allowedFalls = 2 + brittleServers/10.0
