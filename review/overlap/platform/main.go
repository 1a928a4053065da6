// Command platform plays a review case: an entry host without a path to endpoints sends a stream through another one, gets its path back,
// and is cut off from the other entry hosts for a while then.
package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hickoryshelf/hickoryshelf/review/cluster"
)

const (
	// cutTime is how long the link is cut; the bench cuts machines for up to 7 s.
	cutTime = 4 * time.Second
	// eventPause is the time between two events of a long stream, and eventCount their number.
	eventPause = 150 * time.Millisecond
	eventCount = 100
	// pathEvent is the event after which the first entry host has its path to endpoints again, and cutEvent that after which it is cut off.
	pathEvent = 4
	cutEvent  = 30
	// overlapLimit is the bound of the rule.
	overlapLimit = 400 * time.Millisecond
	heartbeat    = 1200 * time.Millisecond
)

// server is a stand-in for an endpoint.
type server struct {
	id, address string
	record      *cluster.Recorder
	lock        sync.Mutex
	runs        []*run
}

// run is one run of a long request.
type run struct {
	server, request    string
	first, last, ended time.Time
	count              int
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("X-Instance-Id", s.id)
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get("X-Request-Id")
	w.Header().Set("X-Request-Id", id)
	if r.Header.Get("X-Expect-Instance") != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("X-Server-Signature", "sig-"+s.id)
	n, pause := eventCount, eventPause
	if strings.HasSuffix(r.URL.Path, "/short") {
		n, pause = 2, 5*time.Millisecond
	}
	b, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	v := &run{server: s.id, request: id}
	if n == eventCount {
		s.lock.Lock()
		s.runs = append(s.runs, v)
		s.lock.Unlock()
	}
	s.record.Logf("server %s runs request %s after event %d", s.id, id, b)
	for k := b + 1; k <= n; k++ {
		if _, err := fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", k, k); err != nil {
			break
		}
		_ = http.NewResponseController(w).Flush()
		s.note(v)
		if n == eventCount {
			s.record.Logf("server %s sends event %d of %s", s.id, k, id)
		}
		select {
		case <-time.After(pause):
			continue
		case <-r.Context().Done():
		}
		break
	}
	s.lock.Lock()
	v.ended = time.Now()
	s.lock.Unlock()
	if n == eventCount {
		s.record.Logf("server %s ends its run of %s after %d events, cut: %v", s.id, id, v.count, r.Context().Err() != nil)
	}
}

func (s *server) note(v *run) {
	s.lock.Lock()
	defer s.lock.Unlock()
	v.last = time.Now()
	if v.count++; v.count == 1 {
		v.first = v.last
	}
}

// report sends heartbeats to a control host until the context ends.
func (s *server) report(ctx context.Context, control string) {
	for n := 1; ctx.Err() == nil; n++ {
		b, _ := json.Marshal(map[string]any{"service": "drafting", "addr": s.address, "zone": "z1", "version": "v1", "slots": 64, "state": "ready", "cold-left-ms": 0, "seq": n})
		if a, err := http.Post("http://"+control+"/instances/"+s.id+"/heartbeat", "application/json", bytes.NewReader(b)); err == nil {
			_ = a.Body.Close()
		}
		time.Sleep(heartbeat)
	}
}

// link forwards connections and can be cut.
type link struct {
	name string
	cut  atomic.Bool
}

func (l *link) serve(listen, target string) error {
	n, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := n.Accept()
			if err != nil {
				return
			}
			go l.forward(c, target)
		}
	}()
	return nil
}

func (l *link) forward(c net.Conn, target string) {
	l.wait()
	t, err := net.Dial("tcp", target)
	if err != nil {
		_ = c.Close()
		return
	}
	go l.pipe(t, c)
	l.pipe(c, t)
}

// wait waits while the link is cut.
func (l *link) wait() {
	for l.cut.Load() {
		time.Sleep(5 * time.Millisecond)
	}
}

// pipe copies until the end, which it passes on too once the link isn't cut.
func (l *link) pipe(to, from net.Conn) {
	b := make([]byte, 16<<10)
	for {
		n, err := from.Read(b)
		l.wait()
		if n > 0 {
			if _, e := to.Write(b[:n]); e != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			_ = to.Close()
			return
		}
	}
}

// openPath gives the first entry host its path to endpoints.
func openPath(d *cluster.Cluster) error {
	for k := range 2 {
		l := &link{}
		if err := l.serve(d.Address(99, cluster.ServerPort+k), d.Address(201+k, cluster.ServerPort+k)); err != nil {
			return err
		}
	}
	return nil
}

// caller returns the base URL of an entry host.
func caller(c *cluster.Cluster, n int) string { return "http://" + c.Address(n, cluster.CallerPort) }

// send sends a request and returns the answer.
func send(ctx context.Context, base, path, id string) (*http.Response, error) {
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, base+path, strings.NewReader("prompt"))
	if err != nil {
		return nil, err
	}
	q.Host = "drafts.example"
	q.Header.Set("X-Request-Id", id)
	q.Header.Set("X-Deadline-Ms", "20000")
	return http.DefaultClient.Do(q)
}

// ask sends a short request to the entry host on the n-th IP, reads the answer to its end, and returns the status, or 0 if there is none.
func ask(ctx context.Context, d *cluster.Cluster, r *cluster.Recorder, n int, id string) int {
	a, err := send(ctx, caller(d, n), "/d/short", id)
	if err != nil {
		r.Logf("the caller of %s gets no answer: %v", id, err)
		return 0
	}
	_, err = io.Copy(io.Discard, a.Body)
	_ = a.Body.Close()
	r.Logf("the caller of %s gets status %d by %s, error %v", id, a.StatusCode, a.Header.Get("X-Server-Signature"), err)
	return a.StatusCode
}

const configuration = `{"version":1,"routes":[{"name":"r","host":"drafts.example","path-prefix":"/d/","type":"stream","timeout-ms":25000,"slo-ms":3000,
"priority":0,"service":"drafting","attempts":3,"public":true,"sticky":false,"resumable":true,"itl-target-ms":1000}],
"services":[{"name":"drafting","health-path":"/healthz","max-conns":370,"protocol":"h1","tls":false}],
"limits":{"max-header-bytes":16384,"max-body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000},"tenants":[]}`

// prepare starts everything and waits until all entry hosts serve.
func prepare(ctx context.Context, d *cluster.Cluster, r *cluster.Recorder, trouble bool) ([]*server, []*link, error) {
	for k := 1; k <= 3; k++ {
		if err := d.Start(fmt.Sprintf("control%d", k), k, map[string]any{"part": "control"}); err != nil {
			return nil, nil, err
		}
	}
	// Until openPath nothing listens at this tunnel: the first entry host has no path to endpoints, its connections are refused.
	if err := d.Start("entry1", 11, map[string]any{"endpoint-tunnel": d.IP(99)}); err != nil {
		return nil, nil, err
	}
	if !trouble {
		if err := openPath(d); err != nil {
			return nil, nil, err
		}
	}
	var links []*link
	for k := 2; k <= 3; k++ {
		l := &link{name: fmt.Sprintf("entry%d", k)}
		if err := l.serve(d.Address(10+k, cluster.PeerPort), d.Address(10+k, cluster.ListenPort)); err != nil {
			return nil, nil, err
		}
		links = append(links, l)
		if err := d.Start(l.name, 10+k, map[string]any{"peer-listen-port": d.Port(cluster.ListenPort)}); err != nil {
			return nil, nil, err
		}
	}
	var servers []*server
	for k := 1; k <= 2; k++ {
		s := &server{id: fmt.Sprintf("i-%d", k), address: d.Address(200+k, cluster.ServerPort+k-1), record: r}
		n, err := net.Listen("tcp", s.address)
		if err != nil {
			return nil, nil, err
		}
		h := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
		go func() { _ = h.Serve(n) }()
		go s.report(ctx, d.Address(k, cluster.AdminPort))
		servers = append(servers, s)
	}
	for k := 0; ; k++ {
		a, err := http.Post("http://"+d.Address(1, cluster.AdminPort)+"/config/put", "application/json", strings.NewReader(configuration))
		if err == nil {
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				break
			}
		}
		if k > 100 {
			return nil, nil, fmt.Errorf("the configuration isn't taken: %w", err)
		}
		time.Sleep(100 * time.Millisecond)
	}
	// Other callers use the other entry hosts all the time.
	for k := 12; k <= 13; k++ {
		go func() {
			for n := 0; ctx.Err() == nil; n++ {
				ask(ctx, d, r, k, fmt.Sprintf("w%d-%d", k, n))
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
	for k := 0; k < 150; k++ {
		if ask(ctx, d, r, 11, fmt.Sprintf("p%d", k)) == http.StatusOK {
			return servers, links, nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil, nil, fmt.Errorf("the first entry host doesn't serve through another one")
}

// play sends the long request through the first entry host, and cuts the link on which its events come. It returns 0 to 2, see main.
func play(ctx context.Context, d *cluster.Cluster, r *cluster.Recorder, trouble bool) int {
	servers, links, err := prepare(ctx, d, r, trouble)
	if err != nil {
		r.Logf("can't run: %v", err)
		return 2
	}
	time.Sleep(time.Second)
	a, err := send(ctx, caller(d, 11), "/d/long", "long-1")
	if err != nil || a.StatusCode != http.StatusOK {
		r.Logf("can't run: the long request isn't served")
		return 2
	}
	r.Logf("the caller gets the head of long-1 from entry1, by %s", a.Header.Get("X-Server-Signature"))
	events, last := 0, time.Now()
	s := bufio.NewScanner(a.Body)
	for s.Scan() {
		if !strings.HasPrefix(s.Text(), "id: ") {
			continue
		}
		r.Logf("the caller gets event %s of long-1 after a pause of %.1f s", s.Text()[4:], time.Since(last).Seconds())
		last = time.Now()
		events++
		switch {
		case !trouble:
		case events == pathEvent:
			if err := openPath(d); err != nil {
				r.Logf("can't run: %v", err)
				return 2
			}
			r.Logf("entry1 has a path to all servers again")
		case events == cutEvent:
			go cutAll(links, r)
		}
	}
	r.Logf("the caller's answer ends after %d events: %v", events, s.Err())
	time.Sleep(time.Second)
	return judge(servers, r)
}

// cutAll cuts the first entry host off from the others.
func cutAll(links []*link, r *cluster.Recorder) {
	for _, l := range links {
		l.cut.Store(true)
	}
	r.Logf("entry1 is cut off from the other entry hosts")
	time.Sleep(cutTime)
	for _, l := range links {
		l.cut.Store(false)
	}
	r.Logf("entry1 reaches the other entry hosts again")
}

// judge looks for two runs at work at the same time.
func judge(servers []*server, r *cluster.Recorder) int {
	var l []*run
	for _, s := range servers {
		s.lock.Lock()
		l = append(l, s.runs...)
		s.lock.Unlock()
	}
	for _, a := range l {
		for _, b := range l {
			if a == b || a.server == b.server || b.count == 0 || !a.first.Before(b.first) {
				continue
			}
			o := a.last.Sub(b.first)
			r.Logf("%s goes on at %s; %s still works on it %.0f ms later", a.request, b.server, a.server, float64(o.Milliseconds()))
			if o > overlapLimit {
				r.Logf("TWICE is broken")
				return 1
			}
		}
	}
	r.Logf("TWICE held")
	return 0
}

// main exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
func main() {
	r, err := cluster.NewRecorder(os.Args[2])
	if err != nil {
		os.Exit(2)
	}
	d, err := cluster.New(os.Args[1], map[string]any{
		"grace": "8s", "drain": "2000ms", "heartbeat": "1200ms", "session-gap": "5s", "retry-ratio": 0.9, "retry-window": "10s", "retry-slack": 58,
		"exposure-share": 0.15, "exposure-extra": 30, "configuration-apply": "2000ms",
	})
	if err != nil {
		os.Exit(2)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Second)
	c := play(ctx, d, r, os.Getenv("TROUBLE") != "0")
	cancel()
	d.Close()
	os.Exit(c)
}
