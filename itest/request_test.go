package itest_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3/option"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// reply is what a caller got; status 0 means that the connection broke.
type reply struct {
	status int
	header http.Header
	body   string
}

func (r reply) outcome() string { return r.header.Get("Hickoryshelf-Outcome") }

func (r reply) id() string { return r.header.Get("Hickoryshelf-Request-Id") }

// post sends a request with headers given as pairs.
func post(h *itest.Host, path, body string, pairs ...string) reply {
	q, err := http.NewRequest(http.MethodPost, "http://"+h.Settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return reply{}
	}
	q.Header.Set("Authorization", "Bearer "+itest.Key)
	for k := 0; k < len(pairs); k += 2 {
		q.Header.Set(pairs[k], pairs[k+1])
	}
	c := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		return reply{header: http.Header{}}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return reply{header: http.Header{}}
	}
	return reply{status: r.StatusCode, header: r.Header, body: string(b)}
}

const chatPath = "/v1/chat/completions"

// chat returns the body of a plain completion request.
func chat(model, text string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, text)
}

// other is a version that the contract doesn't allow.
const other = "other@1"

// small starts a cluster of three hosts with one engine for each version.
func small(t *testing.T) (*itest.Cluster, *fakes.Engine, *fakes.Engine) {
	t.Helper()
	c := itest.Start(t, binary, itest.Three())
	e := c.Engine("engine-small", "bern-halle", fakes.EngineOptions{Versions: []string{itest.Small}, Interval: 2 * time.Millisecond})
	f := c.Engine("engine-large", "olten-halle", fakes.EngineOptions{Versions: []string{itest.Large, other}, Interval: 2 * time.Millisecond})
	c.Configure(c.Hosts[0])
	c.Settled(2)
	return c, e, f
}

// TestSessionStays holds a conversation through the loss of its host and the withdrawal of its version.
func TestSessionStays(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, _, _ := small(t)
	a := post(c.Hosts[1], chatPath, chat(itest.Small, "one", 5))
	i.Equal(a.status, 200)
	s := a.header.Get("Hickoryshelf-Session")
	c.Kill(c.Hosts[1])
	for range 20 {
		r := post(c.Hosts[2], chatPath, chat("auto", "two", 5), "Hickoryshelf-Session", s)
		i.Equal(r.status, 200)
		i.Equal(r.header.Get("Hickoryshelf-Version"), itest.Small) // the session stays
	}
	i.Equal(post(c.Hosts[2], chatPath, chat("auto", "x", 5), "Hickoryshelf-Session", s+"x").status, 400)
	c.StartHost(c.Hosts[1])
	c.MustChange(c.Hosts[0], "withdraw", admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.Small, nil)
	for _, h := range []*itest.Host{c.Hosts[0], c.Hosts[2]} {
		r := post(h, chatPath, chat("auto", "three", 5), "Hickoryshelf-Session", s)
		i.Equal(r.status, 410) // refused at once, not moved
		i.Equal(r.outcome(), "not-run")
		i.True(strings.Contains(r.body, "open a new session"))
		i.Equal(post(h, chatPath, chat("auto", "four", 5)).header.Get("Hickoryshelf-Version"), itest.Large)
	}
}

// whole tells whether a streamed answer holds each token once, in order.
func whole(answer string, tokens int) error {
	f := strings.Fields(answer)
	if len(f) != tokens {
		return fmt.Errorf("%d tokens, not %d", len(f), tokens)
	}
	for k := 1; k < tokens; k++ {
		if !strings.HasSuffix(f[k], fmt.Sprintf("-%d", k)) || (k > 1 && strings.Split(f[k], "-")[0] != strings.Split(f[1], "-")[0]) {
			return fmt.Errorf("token %d is %q", k, f[k])
		}
	}
	return nil
}

// TestEngineKilledMidStream kills an engine while it streams 40 answers: each caller gets its whole answer,
// with no token lost or doubled, and one bill line.
func TestEngineKilledMidStream(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.Start(t, binary, itest.Three())
	o := fakes.EngineOptions{Versions: []string{itest.Small}, Interval: 5 * time.Millisecond, Capacity: 64}
	e := c.Engine("engine-1", "bern-halle", o)
	f := c.Engine("engine-2", "bern-halle", o)
	c.Configure(c.Hosts[0])
	c.Settled(2)
	var g sync.WaitGroup
	var r [40]error
	for k := range r {
		g.Go(func() {
			a, err := ask(x, c.Hosts[k%3], fmt.Sprintf("question %d", k), 200)
			r[k] = errors.Join(err, whole(a, 200))
		})
	}
	time.Sleep(500 * time.Millisecond)
	e.Close()
	g.Wait()
	i.NoErr(errors.Join(r[:]...))
	i.True(len(e.Runs()) > 0)
	i.True(len(f.Runs()) > 0)
	b, err := itest.Bills(x, c.Hosts[0], "")
	i.NoErr(err)
	i.Equal(len(b), len(r)) // one line each
	for _, l := range b {
		i.Equal(l.GetOutputTokens(), int64(200))
	}
}

// TestForeignPart has an engine send a part of another request's answer: no caller gets it.
func TestForeignPart(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.Start(t, binary, itest.Three())
	o := fakes.EngineOptions{Versions: []string{itest.Small}, Interval: time.Millisecond}
	e := c.Engine("engine-1", "bern-halle", o)
	c.Engine("engine-2", "bern-halle", o)
	c.Configure(c.Hosts[0])
	c.Settled(2)
	e.SetFaults(fakes.EngineFaults{Foreign: true})
	for k := range 30 {
		a, err := ask(x, c.Hosts[k%3], "question", 20)
		i.NoErr(err)
		i.NoErr(whole(a, 20))
	}
	e.SetFaults(fakes.EngineFaults{Garbage: true})
	for k := range 10 {
		r := post(c.Hosts[k%3], chatPath, chat("auto", "question", 5))
		i.Equal(r.status, 200) // another engine answered
	}
}

// TestCancelReachesEngine has a caller leave in the middle: the engine stops its work.
func TestCancelReachesEngine(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, e, f := small(t)
	x, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	_, err := ask(x, c.Hosts[1], "a long one", 4000)
	i.True(err != nil)
	itest.Eventually(t, 2*time.Second, func() error {
		for _, r := range append(e.Runs(), f.Runs()...) {
			if r.Cancelled && r.Output < 1000 {
				return nil
			}
		}
		return errors.New("no cancelled run")
	})
}

// attempt is one call of the booking service and what its caller was told.
type attempt struct {
	key string
	reply
}

// TestRunsOnceUnderKills books through any host while hosts are killed and the service loses answers. Each
// key's booking runs at most once; what was answered "ran" ran, and what was answered "not-run" did not.
func TestRunsOnceUnderKills(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c := itest.Start(t, binary, itest.Nine())
	s := c.Service("desk-1", "bern-halle")
	u := c.Service("desk-2", "olten-halle")
	c.Configure(c.Hosts[0])
	c.Settled(2)
	u.SetFaults(fakes.ServiceFaults{Delay: 30_000_000})
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() { killSome(c, stop, 3) })
	g.Go(func() { loseSome(s, stop) })
	var l sync.Mutex
	var a []attempt
	var w sync.WaitGroup
	for o := range 12 {
		w.Go(func() {
			d := rand.New(rand.NewPCG(uint64(o), 5))
			for n := range 25 {
				k := fmt.Sprintf("booking-%d-%d", o, n)
				for range 3 {
					r := post(c.Hosts[d.IntN(9)], "/desk/book", `{"slot":"`+k+`"}`, "Idempotency-Key", k)
					l.Lock()
					a = append(a, attempt{k, r})
					l.Unlock()
					time.Sleep(time.Duration(d.IntN(40)) * time.Millisecond)
				}
			}
		})
	}
	w.Wait()
	close(stop)
	g.Wait()
	allUp(t, c)
	runs := append(s.Runs(), u.Runs()...)
	checkOnce(t, a, runs)
	i.True(len(runs) > 100) // most bookings ran
}

// allUp checks that every host answers again.
func allUp(t *testing.T, c *itest.Cluster) {
	t.Helper()
	for _, h := range c.Hosts {
		itest.Eventually(t, 20*time.Second, func() error {
			if s := itest.Get(h, "/readyz"); s != 200 {
				return fmt.Errorf("%s answers %d", h.Name, s)
			}
			return nil
		})
	}
}

func killSome(c *itest.Cluster, stop chan struct{}, seed uint64) {
	d := rand.New(rand.NewPCG(seed, 1))
	for {
		select {
		case <-stop:
			return
		case <-time.After(time.Duration(300+d.IntN(700)) * time.Millisecond):
			h := c.Hosts[d.IntN(9)]
			c.Kill(h)
			time.Sleep(time.Duration(d.IntN(500)) * time.Millisecond)
			c.StartHost(h)
		}
	}
}

func loseSome(s *fakes.Service, stop chan struct{}) {
	for n := 0; ; n++ {
		s.SetFaults(fakes.ServiceFaults{LoseAnswer: n%3 == 0, Refuse: n%3 == 1})
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// checkOnce compares what callers were told with what the services ran.
func checkOnce(t *testing.T, attempts []attempt, runs []fakes.Run) {
	t.Helper()
	byKey, byID := make(map[string]int), make(map[string]int)
	for _, r := range runs {
		byKey[r.Key]++
		byID[strings.Split(r.Attempt, ".")[0]]++
	}
	for k, n := range byKey {
		if n > 1 {
			t.Errorf("%s ran %d times", k, n)
		}
	}
	told := make(map[string]int)
	for _, a := range attempts {
		told[a.outcome()]++
		switch {
		case a.outcome() == "ran" && byKey[a.key] != 1:
			t.Errorf("%s was answered ran and ran %d times", a.key, byKey[a.key])
		case a.outcome() == "not-run" && byID[a.id()] != 0:
			t.Errorf("%s was answered not-run for %s and ran", a.key, a.id())
		}
	}
	t.Logf("%d attempts were told %v; %d keys ran", len(attempts), told, len(byKey))
}

// TestLeavingEndpoint has an endpoint leave under load: 3 s later it gets nothing new from any host, and
// what it runs ends well.
func TestLeavingEndpoint(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.Start(t, binary, itest.Nine())
	o := fakes.EngineOptions{Versions: []string{itest.Small}, Interval: 5 * time.Millisecond, Capacity: 64}
	e := c.Engine("engine-1", "bern-halle", o)
	c.Engine("engine-2", "olten-halle", o)
	c.Configure(c.Hosts[0])
	c.Settled(2)
	stop := time.Now().Add(7 * time.Second)
	var g sync.WaitGroup
	var l sync.Mutex
	var f error
	n := 0
	for k := range 27 {
		g.Go(func() {
			for time.Now().Before(stop) {
				a, err := ask(x, c.Hosts[k%9], "question", 60)
				l.Lock()
				f = errors.Join(f, err, whole(a, 60))
				n++
				l.Unlock()
			}
		})
	}
	time.Sleep(2 * time.Second)
	e.Leave()
	s := time.Now()
	g.Wait()
	i.NoErr(f)
	late := time.Duration(0)
	for _, r := range e.Runs() {
		late = max(late, r.At.Sub(s))
		i.True(r.Complete) // running work ended well
	}
	t.Logf("of %d requests the last new one came %s after the endpoint left", n, late.Round(time.Millisecond))
	i.True(late < 3*time.Second)
}

// TestBadInput sends what callers and endpoints must not send: each gets a typed error with a remedy, and
// the host goes on.
func TestBadInput(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, _, _ := small(t)
	h := c.Hosts[1]
	c.MustChange(c.Hosts[0], "declare-other", declare, "", version(other))
	for _, v := range []struct {
		name, path, body string
		pairs            []string
		status           int
		code             string
	}{
		{"no JSON", chatPath, "{", nil, 400, "bad-request"},
		{"wrong type", chatPath, `{"messages":3}`, nil, 400, "bad-request"},
		{"no messages", chatPath, `{"model":"auto"}`, nil, 400, "bad-request"},
		{"too long", chatPath, strings.Repeat("x", 2<<20), nil, 413, "body-too-large"},
		{"unknown key", chatPath, chat("auto", "x", 1), []string{"Authorization", "Bearer no"}, 401, "unknown-key"},
		{"unknown version", chatPath, chat("no@1", "x", 1), nil, 403, "version-not-allowed"},
		{"version of others", chatPath, chat(other, "x", 1), nil, 403, "version-not-allowed"},
		{"unknown class", chatPath, chat("auto", "x", 1), []string{"Hickoryshelf-Class", "no"}, 400, "unknown-class"},
		{"no idempotency key", chatPath, chat("auto", "x", 1), []string{"Hickoryshelf-Class", "agreement"}, 400, "bad-request"},
		{"unknown path", "/nowhere/x", "", nil, 404, "unknown-path"},
		{"booking without a key", "/desk/book", "{}", nil, 400, "bad-request"},
		{"service that isn't there", "/desk/look", "{}", nil, 429, "no-capacity"},
	} {
		s := time.Now()
		r := post(h, v.path, v.body, v.pairs...)
		var b struct {
			Error struct{ Code, Message, Outcome string }
		}
		i.NoErr(json.Unmarshal([]byte(r.body), &b))
		if r.status != v.status || b.Error.Code != v.code || b.Error.Outcome != "not-run" || !strings.ContainsAny(b.Error.Message, ";") {
			t.Errorf("%s: %d %s", v.name, r.status, r.body)
		}
		if v.code == "no-capacity" {
			i.True(r.header.Get("Retry-After") != "") // told when to come back
		}
		i.True(time.Since(s) < 3*time.Second)
	}
	i.Equal(post(h, "/announce", `{"id":""}`).status, 400)
	i.Equal(post(h, chatPath, chat("auto", "x", 5)).status, 200) // the host goes on
}

// withClass names a task class.
func withClass(name string) option.RequestOption {
	return option.WithHeader("Hickoryshelf-Class", name)
}

// TestSlowCallers opens connections that send headers or a body drop by drop, and some that read nothing:
// they are ended in bounded time, and others are served meanwhile.
func TestSlowCallers(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, _, _ := small(t)
	h := c.Hosts[1]
	ended := func(head string) {
		n, err := net.Dial("tcp", h.Settings.CallerAddress)
		i.NoErr(err)
		defer func() { _ = n.Close() }()
		_, _ = io.WriteString(n, head)
		d := dropper{n}
		go d.loop()
		_ = n.SetReadDeadline(time.Now().Add(15 * time.Second))
		b, err := io.ReadAll(n)
		i.NoErr(err) // the host has ended the connection
		if strings.Contains(head, "Content-Length") {
			i.True(strings.Contains(string(b), "408"))
		}
	}
	var w sync.WaitGroup
	for range 50 {
		w.Go(func() { ended("POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nX-Slow: ") })
		w.Go(func() {
			ended("POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + itest.Key + "\r\nContent-Length: 1000\r\n\r\n{")
		})
	}
	for range 100 {
		i.Equal(post(h, chatPath, chat("auto", "x", 5)).status, 200) // others are served
	}
	w.Wait()
}

// dropper sends a byte now and then.
type dropper struct{ conn net.Conn }

func (d dropper) loop() {
	for {
		if _, err := d.conn.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
