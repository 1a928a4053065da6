package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// engines is the number of model servers, and engineDown how long one that has crashed is down.
	engines    = 12
	engineDown = 4500 * time.Millisecond
	// soundPause and deadlyPause are the times between two sound requests, and between two with the part that crashes servers.
	soundPause  = 30 * time.Millisecond
	deadlyPause = 200 * time.Millisecond
	// deadlyLead is how long sound requests come before the others, and deadlyTime how long these come.
	deadlyLead = 5 * time.Second
	deadlyTime = 30 * time.Second
	// leastCrashes is the number of crashes after which such requests have to be held back, and mostLate how many may still
	// reach servers later than contact-ms after that.
	leastCrashes = 5
	mostLate     = 3
	// pieces is the number of events of a stream, and piecePause the time between two of them.
	pieces     = 20
	piecePause = 15 * time.Millisecond
	// deadlyPart is the part of a prompt under which servers crash, at most crashDelay after they begin the answer.
	deadlyPart = "dead"
	crashDelay = 100 * time.Millisecond
)

// engineService is a service of model servers that crash as they begin an answer to a request with deadlyPart.
type engineService struct {
	cluster *cluster

	lock     sync.Mutex
	crashes  []time.Time
	arrivals []time.Time
	stopped  bool
}

// engine is one start of a model server. number tells the servers apart.
type engine struct {
	*server
	service *engineService
	number  int
}

// start starts a server at an address, or at a free one.
func (d *engineService) start(number int, address string) error {
	if address == "" {
		address = fmt.Sprintf("%s.%d:0", d.cluster.subnet, 100+number)
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &server{cluster: d.cluster, id: fmt.Sprintf("i-%08x", rand.Uint32()), zone: fmt.Sprintf("zone-%d", number%3), service: "draft", addr: l.Addr().String(), state: "ready", stop: make(chan struct{})}
	e := &engine{s, d, number}
	s.http = &http.Server{Handler: e, ReadHeaderTimeout: 5 * time.Second}
	a := acceptor{s, l}
	go a.run()
	go s.loop()
	return nil
}

// restart starts the server again at its address, with another id.
func (e *engine) restart() {
	e.service.lock.Lock()
	q := e.service.stopped
	e.service.lock.Unlock()
	if q {
		return
	}
	if err := eventually(time.Second, func() error { return e.service.start(e.number, e.addr) }); err != nil {
		e.cluster.record.write("server %s: can't start again: %v", e.id, err)
	}
}

// crash ends the server without a word, and its connections with it.
func (e *engine) crash() {
	e.lock.Lock()
	o := e.silent
	e.silent = true
	e.lock.Unlock()
	if o {
		return
	}
	e.service.lock.Lock()
	e.service.crashes = append(e.service.crashes, time.Now())
	n := len(e.service.crashes)
	e.service.lock.Unlock()
	e.cluster.record.write("server %s: crash %d", e.id, n)
	e.close()
	time.AfterFunc(engineDown, e.restart)
}

// ServeHTTP answers with a stream of events, or crashes.
func (e *engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", d)
	w.Header().Set("X-Instance-Id", e.id)
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != e.id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	e.cluster.record.write("server %s: runs %s", e.id, d)
	w.Header().Set("X-Server-Signature", e.id+"."+d)
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	if strings.Contains(r.Header.Get("X-Prefix-Hash"), ","+deadlyPart+":") {
		e.service.lock.Lock()
		e.service.arrivals = append(e.service.arrivals, time.Now())
		e.service.lock.Unlock()
		_ = c.Flush() // the channel ends in any case
		time.Sleep(crashDelay/5 + rand.N(crashDelay*4/5))
		e.crash()
		panic(http.ErrAbortHandler)
	}
	n := 0
	if v := r.Header.Get("Last-Event-Id"); v != "" {
		if _, err := fmt.Sscan(v, &n); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
	}
	for n++; n <= pieces; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", n, n); err != nil || c.Flush() != nil {
			return
		}
		time.Sleep(piecePause)
	}
}

// caller sends requests with prompts at a steady pace, each on a channel of its own, to random entry hosts.
type caller struct {
	cluster *cluster
	name    string
	pause   time.Duration
	// prompt returns the parts of the n-th request.
	prompt func(n int) string
	stop   chan struct{}
	group  *sync.WaitGroup
}

func (v caller) run() {
	for n := 0; ; n++ {
		select {
		case <-v.stop:
			return
		case <-time.After(v.pause):
		}
		q := promptCall{v, n}
		v.group.Go(q.run)
	}
}

// promptCall is one request of a caller.
type promptCall struct {
	caller caller
	number int
}

func (c promptCall) run() {
	v := c.caller
	d := fmt.Sprintf("%s-%d", v.name, c.number)
	p := v.cluster.entries[rand.IntN(len(v.cluster.entries))]
	q, err := http.NewRequest(http.MethodPost, "http://"+p.frontAddress()+"/draft/x", strings.NewReader("body of "+d))
	if err != nil {
		return
	}
	q.Host = "desk.example"
	q.Header.Set("X-Request-Id", d)
	q.Header.Set("X-Deadline-Ms", "25000")
	q.Header.Set("X-Token-Usage", "400,100")
	q.Header.Set("X-Prefix-Hash", v.prompt(c.number))
	h := http.Client{Timeout: 26 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	s := "no answer"
	if a, err := h.Do(q); err == nil {
		s = a.Status
		if _, err := io.Copy(io.Discard, a.Body); err != nil {
			s += ", which breaks off"
		}
		_ = a.Body.Close()
	}
	v.cluster.record.write("client: sent %s to %s, got %s", d, p.name, s)
}

// playDeadlyPart has requests come with a part of a prompt under which each server crashes that begins an answer. Later than
// contact-ms after the fifth crash, no more than three of them may reach servers.
func playDeadlyPart(r *record, trouble bool) error {
	c, err := newCluster(r, 3, 6)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.putConfig(1); err != nil {
		return err
	}
	d := &engineService{cluster: c}
	for k := range engines {
		if err := d.start(k, ""); err != nil {
			return err
		}
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	var g sync.WaitGroup
	v := caller{cluster: c, name: "sound", pause: soundPause, stop: make(chan struct{}), group: &g, prompt: func(n int) string {
		return fmt.Sprintf("aa:100,bb%x:50,cc%x:250", n%5, n)
	}}
	x := v
	x.name, x.pause, x.prompt = "deadly", deadlyPause, func(n int) string { return fmt.Sprintf("aa:100,%s:50,ee%x:250", deadlyPart, n) }
	if !trouble {
		x.prompt = func(n int) string { return fmt.Sprintf("aa:100,bb7:50,ee%x:250", n) }
	}
	g.Go(v.run)
	time.Sleep(deadlyLead)
	r.print("clients: requests that crash servers begin: %v", trouble)
	g.Go(x.run)
	time.Sleep(deadlyTime)
	close(v.stop)
	d.lock.Lock()
	d.stopped = true
	l, a := d.crashes, d.arrivals
	d.lock.Unlock()
	if len(l) < leastCrashes {
		r.print("servers: %d crashes", len(l))
		return nil
	}
	n := 0
	for _, t := range a {
		if t.After(l[leastCrashes-1].Add(contactTime)) {
			n++
		}
	}
	r.print("servers: %d crashes; %d requests with that part reached servers, %d of them later than contact-ms after the fifth crash", len(l), len(a), n)
	if n > mostLate {
		return fmt.Errorf("BUDGET: %w: %d requests that crash servers reached servers too late", errBroken, n)
	}
	return nil
}
