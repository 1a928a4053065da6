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
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3/option"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// response is the response to a request of a caller. status is 0 if the connection failed.
type response struct {
	status int
	header http.Header
	body   string
}

func (r response) outcome() string { return r.header.Get("Hickoryshelf-Outcome") }

func (r response) id() string { return r.header.Get("Hickoryshelf-Request-Id") }

// post sends a POST request to h under the API key of the fixture. pairs are names and values of further headers, in turn.
func post(h *itest.Host, path, body string, pairs ...string) response {
	q, err := http.NewRequest(http.MethodPost, "http://"+h.Settings.CallerAddress+path, strings.NewReader(body))
	if err != nil {
		return response{}
	}
	q.Header.Set("Authorization", "Bearer "+itest.APIKey)
	for k := 0; k < len(pairs); k += 2 {
		q.Header.Set(pairs[k], pairs[k+1])
	}
	c := &http.Client{Timeout: 20 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Do(q)
	if err != nil {
		return response{header: http.Header{}}
	}
	defer func() { _ = r.Body.Close() }()
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return response{header: http.Header{}}
	}
	return response{status: r.StatusCode, header: r.Header, body: string(b)}
}

// chatPath is the path of chat completion requests.
const chatPath = "/v1/chat/completions"

// chat returns the body of a chat completion request that isn't streamed.
func chat(model, text string, tokens int) string {
	return fmt.Sprintf(`{"model":%q,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, text)
}

// otherVersion is a version that the contract of the fixture doesn't allow.
const otherVersion = "other@1"

// startThree starts a cluster of three hosts and two engines: the first serves SmallVersion, the second LargeVersion and
// otherVersion.
func startThree(t *testing.T) (*itest.Cluster, *fakes.Engine, *fakes.Engine) {
	t.Helper()
	c := itest.StartCluster(t, binary, itest.ThreeHosts())
	e := c.StartEngine("engine-small", "bern-halle", fakes.EngineOptions{Versions: []string{itest.SmallVersion}, Interval: 2 * time.Millisecond})
	f := c.StartEngine("engine-large", "olten-halle", fakes.EngineOptions{Versions: []string{itest.LargeVersion, otherVersion}, Interval: 2 * time.Millisecond})
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(2)
	return c, e, f
}

// TestSessionKeepsVersion guards against a session that changes its model version. The host of a session is killed, and
// the session must continue on the same version through another host. After the version is withdrawn, the session must
// be refused with status 410, while requests outside the session use another version.
func TestSessionKeepsVersion(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, _, _ := startThree(t)
	a := post(c.Hosts[1], chatPath, chat(itest.SmallVersion, "one", 5))
	i.Equal(a.status, 200)
	s := a.header.Get("Hickoryshelf-Session")
	c.Kill(c.Hosts[1])
	for range 20 {
		r := post(c.Hosts[2], chatPath, chat("auto", "two", 5), "Hickoryshelf-Session", s)
		i.Equal(r.status, 200)
		i.Equal(r.header.Get("Hickoryshelf-Version"), itest.SmallVersion) // the session keeps its version
	}
	i.Equal(post(c.Hosts[2], chatPath, chat("auto", "x", 5), "Hickoryshelf-Session", s+"x").status, 400)
	c.StartHost(c.Hosts[1])
	c.MustChange(c.Hosts[0], "withdraw", admpb.Operation_OPERATION_WITHDRAW_VERSION, itest.SmallVersion, nil)
	for _, h := range []*itest.Host{c.Hosts[0], c.Hosts[2]} {
		r := post(h, chatPath, chat("auto", "three", 5), "Hickoryshelf-Session", s)
		i.Equal(r.status, 410) // the session is refused, not moved to another version
		i.Equal(r.outcome(), "not-run")
		i.True(strings.Contains(r.body, "open a new session"))
		i.Equal(post(h, chatPath, chat("auto", "four", 5)).header.Get("Hickoryshelf-Version"), itest.LargeVersion)
	}
}

// checkTokens returns an error unless a streamed answer consists of exactly the given number of tokens of one engine run,
// each once and in order.
func checkTokens(answer string, tokens int) error {
	f := strings.Fields(answer)
	if len(f) != tokens {
		return fmt.Errorf("%d tokens, want %d", len(f), tokens)
	}
	for k := 1; k < tokens; k++ {
		if !strings.HasSuffix(f[k], fmt.Sprintf("-%d", k)) || (k > 1 && strings.Split(f[k], "-")[0] != strings.Split(f[1], "-")[0]) {
			return fmt.Errorf("unexpected token at %d: %q", k, f[k])
		}
	}
	return nil
}

// TestEngineKilledMidStream guards against broken streams after an engine failure. An engine is killed while it and
// another engine stream 40 answers. Each caller must get the complete answer without lost or duplicate tokens, and one
// bill line.
func TestEngineKilledMidStream(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.ThreeHosts())
	o := fakes.EngineOptions{Versions: []string{itest.SmallVersion}, Interval: 5 * time.Millisecond, Capacity: 64}
	e := c.StartEngine("engine-1", "bern-halle", o)
	f := c.StartEngine("engine-2", "bern-halle", o)
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(2)
	var g sync.WaitGroup
	var r [40]error
	for k := range r {
		g.Go(func() {
			a, err := streamText(x, c.Hosts[k%3], fmt.Sprintf("question %d", k), 200)
			r[k] = errors.Join(err, checkTokens(a, 200))
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
	i.Equal(len(b), len(r)) // one bill line for each request
	for _, l := range b {
		i.Equal(l.GetOutputTokens(), int64(200))
	}
}

// TestForeignChunk guards against passing on chunks that don't belong to the request. An engine first sends a chunk of
// another request's answer within each stream, and then malformed responses. Callers must get complete answers to their
// own requests, in the second case from another engine.
func TestForeignChunk(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.ThreeHosts())
	o := fakes.EngineOptions{Versions: []string{itest.SmallVersion}, Interval: time.Millisecond}
	e := c.StartEngine("engine-1", "bern-halle", o)
	c.StartEngine("engine-2", "bern-halle", o)
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(2)
	e.SetFaults(fakes.EngineFaults{Foreign: true})
	for k := range 30 {
		a, err := streamText(x, c.Hosts[k%3], "question", 20)
		i.NoErr(err)
		i.NoErr(checkTokens(a, 20))
	}
	e.SetFaults(fakes.EngineFaults{Garbage: true})
	for k := range 10 {
		r := post(c.Hosts[k%3], chatPath, chat("auto", "question", 5))
		i.Equal(r.status, 200) // another engine answered
	}
}

// TestCancelReachesEngine guards against engine work for callers that have left. A caller closes its connection in the
// middle of a stream, and the engine must stop the run within 2 s.
func TestCancelReachesEngine(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, e, f := startThree(t)
	x, stop := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer stop()
	_, err := streamText(x, c.Hosts[1], "a long one", 4000)
	i.True(err != nil)
	itest.Eventually(t, 2*time.Second, func() error {
		for _, r := range append(e.Runs(), f.Runs()...) {
			if r.Cancelled && r.Output < 1000 {
				return nil
			}
		}
		return errors.New("no run was cancelled")
	})
}

// bookingCall is one call of the booking service: its idempotency key and the response to the caller.
type bookingCall struct {
	key string
	response
}

// TestAtMostOnceUnderHostCrashes guards against running a non-repeatable call twice. Bookings are sent three times each
// through random hosts, while hosts are killed and one service refuses calls and loses answers. Each idempotency key must
// run at most once. A booking with the outcome ran must have run, and one with the outcome not-run must not.
func TestAtMostOnceUnderHostCrashes(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c := itest.StartCluster(t, binary, itest.NineHosts())
	s := c.StartService("desk-1", "bern-halle")
	u := c.StartService("desk-2", "olten-halle")
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(2)
	u.SetFaults(fakes.ServiceFaults{Delay: 30_000_000})
	stop := make(chan struct{})
	var g sync.WaitGroup
	g.Go(func() { crashHosts(c, stop, 3) })
	g.Go(func() { injectServiceFaults(s, stop) })
	var l sync.Mutex
	var a []bookingCall
	var w sync.WaitGroup
	for o := range 12 {
		w.Go(func() {
			d := rand.New(rand.NewPCG(uint64(o), 5))
			for n := range 25 {
				k := fmt.Sprintf("booking-%d-%d", o, n)
				for range 3 {
					r := post(c.Hosts[d.IntN(9)], "/desk/book", `{"slot":"`+k+`"}`, "Idempotency-Key", k)
					l.Lock()
					a = append(a, bookingCall{k, r})
					l.Unlock()
					time.Sleep(time.Duration(d.IntN(40)) * time.Millisecond)
				}
			}
		})
	}
	w.Wait()
	close(stop)
	g.Wait()
	waitReady(t, c)
	runs := append(s.Runs(), u.Runs()...)
	checkAtMostOnce(t, a, runs)
	i.True(len(runs) > 100) // most bookings ran
}

// waitReady waits until all hosts are ready.
func waitReady(t *testing.T, c *itest.Cluster) {
	t.Helper()
	for _, h := range c.Hosts {
		itest.Eventually(t, 20*time.Second, func() error {
			if s := itest.GetStatusCode(h, "/readyz"); s != 200 {
				return fmt.Errorf("%s answers %d", h.Name, s)
			}
			return nil
		})
	}
}

// crashHosts kills a random host every 300 to 1,000 ms and restarts it up to 500 ms later, until stop is closed.
func crashHosts(c *itest.Cluster, stop chan struct{}, seed uint64) {
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

// injectServiceFaults changes the faults of s every 50 ms until stop is closed: s loses answers, then refuses calls, then
// works without faults.
func injectServiceFaults(s *fakes.Service, stop chan struct{}) {
	for n := 0; ; n++ {
		s.SetFaults(fakes.ServiceFaults{LoseAnswer: n%3 == 0, Refuse: n%3 == 1})
		select {
		case <-stop:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// checkAtMostOnce fails the test if an idempotency key ran more than once, or if the outcome that a call reported
// contradicts the runs.
func checkAtMostOnce(t *testing.T, calls []bookingCall, runs []fakes.Run) {
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
	outcomes := make(map[string]int)
	for _, a := range calls {
		outcomes[a.outcome()]++
		switch {
		case a.outcome() == "ran" && byKey[a.key] != 1:
			t.Errorf("%s was reported as ran but ran %d times", a.key, byKey[a.key])
		case a.outcome() == "not-run" && byID[a.id()] != 0:
			t.Errorf("%s was reported as not-run, but its request %s ran", a.key, a.id())
		}
	}
	t.Logf("%d calls had the outcomes %v; %d keys ran", len(calls), outcomes, len(byKey))
}

// TestLeavingEndpoint guards against requests to an endpoint that is leaving, and against breaking off its running
// requests. An endpoint announces under load that it leaves. Its runs must end well, and 3 s after the announcement no
// host may send it new requests.
func TestLeavingEndpoint(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.NineHosts())
	o := fakes.EngineOptions{Versions: []string{itest.SmallVersion}, Interval: 5 * time.Millisecond, Capacity: 64}
	e := c.StartEngine("engine-1", "bern-halle", o)
	c.StartEngine("engine-2", "olten-halle", o)
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(2)
	stop := time.Now().Add(7 * time.Second)
	var g sync.WaitGroup
	var l sync.Mutex
	var f error
	n := 0
	for k := range 27 {
		g.Go(func() {
			for time.Now().Before(stop) {
				a, err := streamText(x, c.Hosts[k%9], "question", 60)
				l.Lock()
				f = errors.Join(f, err, checkTokens(a, 60))
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
		i.True(r.Complete) // requests in flight ended well
	}
	t.Logf("of %d requests the last one on the leaving endpoint began %s after its announcement", n, late.Round(time.Millisecond))
	i.True(late < 3*time.Second)
}

// TestBadInput guards against invalid requests that crash or block a host or get an error without a remedy. Each invalid
// request must be answered within 3 s with its status and error code, the outcome not-run and a remedy after a semicolon.
// The host must serve valid requests afterwards.
func TestBadInput(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, _, _ := startThree(t)
	h := c.Hosts[1]
	c.MustChange(c.Hosts[0], "declare-other", declareOp, "", version(otherVersion))
	for _, v := range []struct {
		name, path, body string
		pairs            []string
		status           int
		code             string
	}{
		{"malformed JSON", chatPath, "{", nil, 400, "bad-request"},
		{"wrong type", chatPath, `{"messages":3}`, nil, 400, "bad-request"},
		{"no messages", chatPath, `{"model":"auto"}`, nil, 400, "bad-request"},
		{"body too large", chatPath, strings.Repeat("x", 2<<20), nil, 413, "body-too-large"},
		{"unknown key", chatPath, chat("auto", "x", 1), []string{"Authorization", "Bearer no"}, 401, "unknown-key"},
		{"unknown version", chatPath, chat("no@1", "x", 1), nil, 403, "version-not-allowed"},
		{"version outside the contract", chatPath, chat(otherVersion, "x", 1), nil, 403, "version-not-allowed"},
		{"unknown class", chatPath, chat("auto", "x", 1), []string{"Hickoryshelf-Class", "no"}, 400, "unknown-class"},
		{"no idempotency key", chatPath, chat("auto", "x", 1), []string{"Hickoryshelf-Class", "agreement"}, 400, "bad-request"},
		{"unknown path", "/nowhere/x", "", nil, 404, "unknown-path"},
		{"booking without an idempotency key", "/desk/book", "{}", nil, 400, "bad-request"},
		{"service without an endpoint", "/desk/look", "{}", nil, 429, "no-capacity"},
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
			i.True(r.header.Get("Retry-After") != "") // the response says when to retry
		}
		i.True(time.Since(s) < 3*time.Second)
	}
	i.Equal(post(h, "/announce", `{"id":""}`).status, 400)
	i.Equal(post(h, chatPath, chat("auto", "x", 5)).status, 200) // the host still serves valid requests
}

// withClass returns a request option that sets the task class.
func withClass(name string) option.RequestOption {
	return option.WithHeader("Hickoryshelf-Class", name)
}

// TestSlowCallers guards against slow clients that hold connections for an unbounded time. 50 connections send their
// headers and 50 their body at one byte per 300 ms. The host must close each of them within 15 s, after an answer with
// status 408 for a slow body, and must serve other callers meanwhile.
func TestSlowCallers(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	c, _, _ := startThree(t)
	h := c.Hosts[1]
	expectClosed := func(head string) {
		n, err := net.Dial("tcp", h.Settings.CallerAddress)
		i.NoErr(err)
		defer func() { _ = n.Close() }()
		_, _ = io.WriteString(n, head)
		s := slowWriter{n}
		go s.loop()
		_ = n.SetReadDeadline(time.Now().Add(15 * time.Second))
		b, err := io.ReadAll(n)
		// If a byte of this client is still unread in the host's receive buffer when the host closes the connection,
		// the kernel sends a reset in place of a FIN. The host has closed the connection in both cases.
		if !errors.Is(err, syscall.ECONNRESET) {
			i.NoErr(err) // the host has closed the connection before the read deadline
		}
		if strings.Contains(head, "Content-Length") {
			i.True(strings.Contains(string(b), "408"))
		}
	}
	var w sync.WaitGroup
	for range 50 {
		w.Go(func() { expectClosed("POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nX-Slow: ") })
		w.Go(func() {
			expectClosed("POST " + chatPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + itest.APIKey + "\r\nContent-Length: 1000\r\n\r\n{")
		})
	}
	for range 100 {
		i.Equal(post(h, chatPath, chat("auto", "x", 5)).status, 200) // other callers are served meanwhile
	}
	w.Wait()
}

// slowWriter writes to a connection at one byte per 300 ms.
type slowWriter struct{ conn net.Conn }

// loop writes until the connection is closed.
func (w slowWriter) loop() {
	for {
		if _, err := w.conn.Write([]byte("x")); err != nil {
			return
		}
		time.Sleep(300 * time.Millisecond)
	}
}
