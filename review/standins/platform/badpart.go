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
	// backTime is how long a server that has crashed is down.
	backTime = 3 * time.Second
	// firstPart is the part that all prompts begin with, and badPart the one that crashes servers.
	firstPart = "5c1e07a2:800"
	badPart   = "91bd3f06:410"
	// enoughCrashes is the number of crashes after which such requests may reach servers for contactTime, and allowedLate how many of them
	// may do so later.
	enoughCrashes = 5
	allowedLate   = 3
	// fewestSound is the least number of sound requests to judge by.
	fewestSound = 20
	// partTimeout is how long a client waits.
	partTimeout = 4 * time.Second
)

// partDay says what comes at a service.
type partDay struct {
	servers int
	// soundPause and badPause are the times between two sound requests and between two with the bad part.
	soundPause, badPause time.Duration
	// calmTime is how long only sound requests come, and badTime how long both do.
	calmTime, badTime time.Duration
	// lost is set if the day is judged by LOST in place of BUDGET.
	lost bool
}

// Days with a bad part: a service with little to do, and one that all at once has many such requests.
var (
	quietPartDay = partDay{servers: 3, soundPause: 500 * time.Millisecond, badPause: time.Second, calmTime: 22 * time.Second, badTime: 48 * time.Second}
	busyPartDay  = partDay{servers: 6, soundPause: 50 * time.Millisecond, badPause: 40 * time.Millisecond, calmTime: 15 * time.Second, badTime: 45 * time.Second, lost: true}
)

// partConfig is a configuration with one route of requests with prompts, whose streams may not be resumed.
func partConfig() map[string]any {
	c := lateConfig()
	c["routes"] = []any{map[string]any{
		"name": "r-6y7z5k6", "host": lateHost, "path-prefix": "/pufi791/", "type": "stream", "timeout-ms": 5000, "slo-ms": 1000, "priority": 1, "service": lateService,
		"attempts": 3, "public": false, "sticky": true, "itl-target-ms": 1000,
	}}
	c["services"] = []any{map[string]any{
		"name": lateService, "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": false,
		"engine": map[string]any{
			"slots": 64, "kv-capacity": 658157, "kv-token-bytes": 163840, "link-mbps": 740000.0, "moves": false, "backups": false, "stride": 5, "most": 12,
			"pin-ms": 4000.0, "hold-ms": 2000.0, "handle-ttl-s": 5.0, "models": []any{map[string]any{"name": partModel, "cost": 0.018}},
		},
	}}
	return c
}

// partModel is the only model.
const partModel = "daka510000"

// partPlay is what the servers have seen.
type partPlay struct {
	deployment *deployment

	lock sync.Mutex
	// crashes holds when servers crashed, and reached when requests with the bad part reached one.
	crashes, reached []time.Time
	sound            []partResult
	ended            bool
}

// partResult is what became of a client's request.
type partResult struct {
	sent time.Time
	// began is set if its answer began with a success.
	began bool
}

// partServer is a stand-in for a server that crashes as it begins to write an answer on the bad part.
type partServer struct {
	play          *partPlay
	address, zone string

	lock     sync.Mutex
	id       string
	born     int64
	sequence int
	http     *http.Server
	down     bool
}

// start starts the server anew, with a new ID.
func (s *partServer) start() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.lock.Lock()
	defer s.lock.Unlock()
	s.id, s.born, s.sequence, s.down = fmt.Sprintf("i-%08x", rand.Uint32()), time.Now().UnixMilli(), 0, false
	s.http = &http.Server{Handler: s, ReadHeaderTimeout: 5 * time.Second}
	s.play.deployment.record.note("server %s starts at %s in %s", s.id, s.address, s.zone)
	a := partStart{s, s.http, l, s.id}
	go a.serve()
	go a.report()
	return nil
}

// partStart is one start of a server.
type partStart struct {
	server   *partServer
	http     *http.Server
	listener net.Listener
	id       string
}

func (a partStart) serve() { _ = a.http.Serve(a.listener) } // returns once the server has ended

// report sends status reports until the server ends.
func (a partStart) report() {
	for s := a.server; ; time.Sleep(heartbeat) {
		s.lock.Lock()
		s.sequence++
		o := s.down || s.id != a.id
		b := map[string]any{
			"service": lateService, "addr": s.address, "zone": s.zone, "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": s.sequence,
			"born": s.born, "phase": "both", "models": []any{map[string]any{"name": partModel, "version": 1, "adapters": []any{}}},
		}
		s.lock.Unlock()
		if o || s.play.hasEnded() {
			return
		}
		l := s.play.deployment.controls
		for _, k := range rand.Perm(len(l)) {
			if c, _, err := s.play.deployment.call(l[k], http.MethodPost, "/instances/"+a.id+"/heartbeat", b, time.Second); err == nil && c == http.StatusOK {
				break
			}
		}
	}
}

// ServeHTTP answers with a stream of three events, or crashes.
func (s *partServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // a broken body is the client's
	s.lock.Lock()
	id := s.id
	s.lock.Unlock()
	i := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", i)
	w.Header().Set("X-Instance-Id", id)
	if r.URL.Path == "/healthz" {
		return
	}
	if x := r.Header.Get("X-Expect-Instance"); x != "" && x != id {
		w.Header().Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	b := strings.Contains(r.Header.Get("X-Prefix-Hash"), badPart)
	if b {
		s.play.reach(i, id)
	}
	time.Sleep(time.Duration(20+rand.IntN(60)) * time.Millisecond)
	if b {
		s.crash()
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("X-Server-Signature", id+"."+i)
	w.Header().Set("X-Weight-Versions", "1")
	w.Header().Set("Content-Type", "text/event-stream")
	c := http.NewResponseController(w)
	for k := range 3 {
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", k+1, i) // a client that has left needs no answer
		_ = c.Flush()
		time.Sleep(20 * time.Millisecond)
	}
}

// crash ends the server at once and starts it again after backTime.
func (s *partServer) crash() {
	s.lock.Lock()
	defer s.lock.Unlock()
	if s.down {
		return
	}
	s.down = true
	n := s.play.countCrash()
	s.play.deployment.record.note("server %s crashes: crash %d", s.id, n)
	b := partBack{s, s.http}
	go b.run()
}

// partBack is the return of a server that has crashed.
type partBack struct {
	server *partServer
	http   *http.Server
}

func (b partBack) run() {
	_ = b.http.Close() // the connections end
	time.Sleep(backTime)
	if b.server.play.hasEnded() {
		return
	}
	if err := b.server.start(); err != nil {
		b.server.play.deployment.record.note("the server at %s can't start again: %v", b.server.address, err)
	}
}

func (y *partPlay) hasEnded() bool {
	y.lock.Lock()
	defer y.lock.Unlock()
	return y.ended
}

func (y *partPlay) countCrash() int {
	y.lock.Lock()
	defer y.lock.Unlock()
	y.crashes = append(y.crashes, time.Now())
	return len(y.crashes)
}

// reach records that a request with the bad part has reached a server.
func (y *partPlay) reach(request, server string) {
	y.lock.Lock()
	defer y.lock.Unlock()
	y.reached = append(y.reached, time.Now())
	y.deployment.record.detail("request %s with the bad part reaches server %s", request, server)
}

// partRequest is a request of a client. No two have the same path, body or last part.
type partRequest struct {
	play *partPlay
	bad  bool
	edge *process
}

func (q partRequest) run() {
	d := q.play.deployment
	p := []string{firstPart}
	if q.bad {
		p = append(p, badPart)
	}
	p = append(p, fmt.Sprintf("%08x:250", rand.Uint32()))
	i := fmt.Sprintf("%016x", rand.Uint64())
	r, err := http.NewRequest(http.MethodPost, fmt.Sprintf("http://%s:%d/pufi791/%s", q.edge.ip, frontPort, i[:8]), strings.NewReader("prompt of "+i))
	if err != nil {
		d.record.note("no request: %v", err)
		return
	}
	r.Host = lateHost
	for k, v := range map[string]string{
		"X-Request-Id": i, "X-Deadline-Ms": fmt.Sprint(partTimeout.Milliseconds()), "Authorization": "Bearer " + apiKey, "X-Model": partModel, "X-Token-Usage": "1460,15",
		"X-Prefix-Hash": strings.Join(p, ","),
	} {
		r.Header.Set(k, v)
	}
	o := partResult{sent: time.Now()}
	c := http.Client{Timeout: partTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	s := 0
	a, err := c.Do(r)
	if err == nil {
		s = a.StatusCode
		o.began = s == http.StatusOK
		_, _ = io.Copy(io.Discard, a.Body) // whether it is whole doesn't matter here
		_ = a.Body.Close()                 // it was read
	}
	d.record.detail("request %s (bad part: %v) sent at %.3f to %s: status %d (%v)", i, q.bad, o.sent.Sub(d.record.began).Seconds(), q.edge.name, s, why(err))
	if q.bad {
		return
	}
	q.play.lock.Lock()
	defer q.play.lock.Unlock()
	q.play.sound = append(q.play.sound, o)
}

// send sends requests until a time.
func (y *partPlay) send(pause time.Duration, bad bool, until time.Time) {
	t := time.NewTicker(pause)
	defer t.Stop()
	for time.Now().Before(until) {
		<-t.C
		q := partRequest{y, bad, y.deployment.edges[rand.IntN(edgeCount)]}
		go q.run()
	}
}

// begun returns how many of the sound requests that were sent in a time began, and how many were sent.
func (y *partPlay) begun(from, to time.Time) (began, sent int) {
	for _, r := range y.sound {
		if r.sent.Before(from) || !r.sent.Before(to) {
			continue
		}
		sent++
		if r.began {
			began++
		}
	}
	return began, sent
}

// quietPart and busyPart play the two days.
func quietPart(p *play) (bool, error) { return p.playPart(quietPartDay) }
func busyPart(p *play) (bool, error)  { return p.playPart(busyPartDay) }

// playPart plays requests with a part that crashes each server. Without trouble none come.
func (p *play) playPart(a partDay) (bool, error) {
	d := p.deployment
	if err := d.begin(partConfig()); err != nil {
		return false, err
	}
	y := &partPlay{deployment: d}
	for k := range a.servers {
		s := &partServer{play: y, address: fmt.Sprintf("%s.%d:8080", d.subnet, serverOctet+k), zone: zoneOf(k)}
		if err := s.start(); err != nil {
			return false, err
		}
	}
	time.Sleep(3 * time.Second) // until all entry hosts know them
	b := time.Now()
	e := b.Add(a.calmTime + a.badTime)
	go y.send(a.soundPause, false, e)
	time.Sleep(a.calmTime)
	k := time.Now()
	if p.troubled {
		d.record.note("requests with the part %s come from now on", badPart)
		go y.send(a.badPause, true, e)
	}
	time.Sleep(time.Until(e.Add(partTimeout)))
	return y.judge(a, b, k, e)
}

// judge reports whether the rule of a day was broken that began at a time, had bad requests from another one on and ended at the last.
func (y *partPlay) judge(a partDay, begin, bad, end time.Time) (bool, error) {
	y.lock.Lock()
	defer y.lock.Unlock()
	y.ended = true
	r := y.deployment.record
	s, n := y.begun(begin, bad)
	r.note("before these came %d of %d sound requests began", s, n)
	if n < fewestSound {
		return false, fmt.Errorf("too few sound requests")
	}
	if len(y.crashes) < enoughCrashes {
		t, m := y.begun(bad, end)
		r.note("since then %d of %d did; servers crashed %d times", t, m, len(y.crashes))
		return false, nil
	}
	f := y.crashes[enoughCrashes-1]
	l := 0
	for _, t := range y.reached {
		if t.After(f.Add(contactTime)) {
			l++
		}
	}
	r.note("servers crashed %d times; later than contact-ms after the fifth crash %d requests with the part reached servers; %d are allowed", len(y.crashes), l, allowedLate)
	t, m := y.begun(f.Add(2*contactTime), end)
	o := m >= fewestSound && 2*t*n < s*m
	r.note("from 2 x contact-ms after the fifth crash on %d of %d sound requests began; less than half as often as before: %v", t, m, o)
	if a.lost {
		return o, nil
	}
	return l > allowedLate, nil
}
