// Package entry exchanges state between an entry host and the control hosts. In each exchange it reports this host's
// requests in flight, canary tallies and prefill times to one control host, and applies the configuration and state
// changes that the control host returns.
package entry

import (
	"errors"
	"math/rand/v2"
	"net/rpc"
	"slices"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/relay"
	"github.com/hickoryshelf/hickoryshelf/roster"
	"github.com/hickoryshelf/hickoryshelf/speed"
	"github.com/hickoryshelf/hickoryshelf/table"
)

const (
	// longPollWait is how long a control host may delay its reply while nothing has changed.
	longPollWait = 150 * time.Millisecond
	// exchangeTimeout is the time without a reply after which the entry host asks another control host as well.
	exchangeTimeout = 700 * time.Millisecond
	// leastRetryPause and mostRetryPause bound the pause between a failed exchange and the next one, which grows with each
	// failure in a row.
	leastRetryPause = 120 * time.Millisecond
	mostRetryPause  = 500 * time.Millisecond
	// mostBesidePause bounds the pause, added to exchangeTimeout, between two exchanges that are begun with control hosts that may have
	// no leader, beside one without a reply. It begins with leastRetryPause: control hosts that are short of processor time need fewer
	// exchanges, not more.
	mostBesidePause = 2 * time.Second
	// stalePause is the pause between two exchanges with a control host that has no leader.
	stalePause = 60 * time.Millisecond
	// prefillReportEvery is the number of exchanges after which the measured prefill times of models are sent again.
	prefillReportEvery = 16
	// tallyResendEvery is the number of exchanges after which all tallies are sent again, since control hosts may miss
	// what another one passes on to them.
	tallyResendEvery = 16
	// maxCandidates is the number of control hosts to which connections are opened at the same time.
	maxCandidates = 3
	// coldReportDelay is how much longer than two heartbeats it may take until hosts hear that an endpoint is cold.
	coldReportDelay = time.Second
	// sweepEvery is the interval at which idle connections to endpoints are closed.
	sweepEvery = time.Second
)

// Options holds the settings and components of an entry host. All fields but AskDirectory are required.
type Options struct {
	Settings conf.Node
	Relay    *relay.Relay
	Set      *pick.Set
	// Pools hold the connections to endpoints and to other entry hosts.
	Pools []*dial.Pool
	// Assisting says how this host sends requests for others.
	Assisting Assisting
	// AskDirectory asks another entry host at a peer address which control hosts it knows. Nil means that none is asked.
	AskDirectory func(address string) (ctlrpc.Directory, error)
	// Decode parses a configuration document in the form in which the operator wrote it.
	Decode  func(document []byte) (table.Table, error)
	Log     *logrus.Logger
	Metrics *metrics.Set
}

// Entry is a running entry host's connection to the control hosts. Create it with New.
type Entry struct {
	Options
	// start is the time of this process's start in Unix nanoseconds. sequence numbers the reports since then.
	start    int64
	sequence uint64
	// hosts holds the names of the entry hosts that a control host last sent.
	hosts []string
	// loggedSpeeds holds the factors of speed that were last logged, by endpoint ID.
	loggedSpeeds map[string]speed.Factor
	// overdue holds the endpoints that the control host has no reports of.
	overdue []string
	// roster holds the peer addresses of control hosts.
	roster roster.Roster
	// directory is what other entry hosts are told of it, and seeds are those of newer settings, or nil once they are in roster.
	directory atomic.Pointer[ctlrpc.Directory]
	seeds     atomic.Pointer[[]string]
	// neighbours holds the peer addresses of other entry hosts, and neighboursAt is when a control host last named some.
	neighbours   []string
	neighboursAt time.Time
	// state says which configuration and fleet state this host has received. It is sent with each exchange, so that
	// control hosts reply with changes only.
	state ctlrpc.EntryState
	// fleetPartial is set if the control host that this host holds endpoints of may not have heard of all of them.
	fleetPartial bool
	// first is the table that this host holds back while it has none in force, or nil.
	first *firstOffer
	// client is the connection to the control host at address, or nil.
	client  *rpc.Client
	address string
	// leads is set if that one said before that it has a leader.
	leads bool
	// current is the same connection for other goroutines than run, or nil.
	current atomic.Pointer[rpc.Client]
	// permitControls holds the control hosts to ask for permits beside the current one. It is nil before the first reply.
	permitControls atomic.Pointer[[]string]
	// retryPause is the pause after the next failed exchange, and besidePause that before the next one beside it.
	retryPause, besidePause pause
	// search looks for a control host with a leader, from a failed exchange until a reply of a control host that is current. It is nil
	// at other times.
	search   *search
	stopping atomic.Bool
	// lastExchange is the time of the last reply in Unix nanoseconds, or of the start before the first reply.
	lastExchange atomic.Int64
	// lastCurrent is the same for replies of control hosts that were current.
	lastCurrent atomic.Int64
	stop        chan struct{}
}

// ErrTimeout is the error of an exchange without a reply within exchangeTimeout.
var ErrTimeout = errors.New("the control host didn't reply in time; asking another one")

// ErrStale is the error of an exchange with a control host that has no leader. Another control host may have newer
// state.
var ErrStale = errors.New("the control host has no leader; trying another one")

// ErrEmptyReply is the error of an exchange with a control host of an earlier build that stops. Its reply holds nothing, and says nothing
// about the state.
var ErrEmptyReply = errors.New("the control host stops; trying another one")

// New registers the metrics and starts to exchange state with the control hosts of the settings.
func New(o Options) *Entry {
	e := &Entry{
		Options: o, start: time.Now().UnixNano(), roster: roster.Roster{}.WithSeeds(o.Settings.SeedPeers()), stop: make(chan struct{}),
		retryPause: pause{least: leastRetryPause, most: mostRetryPause}, besidePause: pause{least: leastRetryPause, most: mostBesidePause},
	}
	e.lastExchange.Store(e.start)
	e.lastCurrent.Store(e.start)
	o.Metrics.NewGauge("control_age_seconds", func() float64 { return time.Since(time.Unix(0, e.lastExchange.Load())).Seconds() })
	o.Metrics.NewGauge("control_current_age_seconds", func() float64 { return e.currentAge().Seconds() })
	o.Metrics.NewGauge("table_version", func() float64 { return float64(e.tableVersion()) })
	if o.Settings.Bounds.CentreDrain > 0 {
		e.state.DrainIndex = ctlrpc.HoldsNoDrains
	}
	o.Metrics.NewGauge("drained_data_centres", func() float64 { return float64(len(o.Set.DrainedCentres())) })
	o.Metrics.NewGauge("links_cut", func() float64 {
		_, n := o.Set.LinkCounts()
		return float64(n)
	})
	s := idleSweeper{e}
	p := relay.Prober{Relay: o.Relay, Stop: e.stop}
	go e.run()
	go s.run()
	f := &helperFinder{entry: e}
	p.Start()
	go f.run()
	if o.Settings.Bounds.ColdLimits().On() {
		a := permitPoller{entry: e, clients: map[string]*rpc.Client{}}
		go a.run()
	}
	return e
}

// idleSweeper closes idle connections until Stop is called.
type idleSweeper struct{ entry *Entry }

func (s idleSweeper) run() {
	t := time.NewTicker(sweepEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			for _, p := range s.entry.Pools {
				p.CloseExpired()
			}
		case <-s.entry.stop:
			return
		}
	}
}

// Ready reports whether the host can accept requests: it has a configuration and isn't stopping.
func (e *Entry) Ready() bool { return !e.stopping.Load() && e.Relay.Table() != nil }

// Stopping reports whether BeginStop has been called.
func (e *Entry) Stopping() bool { return e.stopping.Load() }

// BeginStop makes Ready return false, so that no new requests are sent to the host before it stops.
func (e *Entry) BeginStop() { e.stopping.Store(true) }

// Stop makes the current exchange the last one and doesn't wait for its end. It must be called only once.
func (e *Entry) Stop() { close(e.stop) }

func (e *Entry) run() {
	defer e.endSearch()
	for {
		select {
		case <-e.stop:
			return
		default:
		}
		if err := e.exchange(); err != nil {
			e.closeConnection(err)
			e.wait(e.retryPause.next())
		}
	}
}

// exchange sends this host's report to a control host and applies the reply. While it gets none, it asks others as well, and goes
// on with the first that replies. If all calls fail, the tallies are kept for the next exchange.
func (e *Entry) exchange() error {
	c, err := e.connect()
	if err != nil {
		return err
	}
	t := &talks{entry: e, ended: make(chan *rpc.Call), over: make(chan struct{})}
	if k := t.begin(e.address, c, e.request(e.state.Control == "")); e.leads {
		t.sure = k
	}
	x, err := t.first()
	if err != nil {
		return err
	}
	if x.client != e.client {
		e.closeConnection(ErrTimeout)
		e.useConnection(x.address, x.client)
	}
	e.apply(x.reply, x.sentAt)
	e.retryPause.reset()
	e.besidePause.reset()
	if !x.reply.Current {
		e.recordLoss(ErrStale)
		e.leaveStale()
	}
	return nil
}

// request returns the request of the next exchange. first is set for the first one with a control host.
func (e *Entry) request(first bool) ctlrpc.ExchangeRequest {
	e.sequence++
	if e.sequence%tallyResendEvery == 0 {
		e.Relay.ResendTallies()
	}
	e.Relay.ConfirmEnds()
	var p map[string]time.Duration
	if e.sequence%prefillReportEvery == 0 {
		p = e.Relay.Prefill.Measured()
	}
	q := ctlrpc.ExchangeRequest{
		Report: ctlrpc.HostReport{Host: e.Settings.Name, Start: e.start, Sequence: e.sequence, Loads: e.Set.LocalLoads(), Limits: e.Set.Limits(time.Now()), Tallies: e.Relay.TakeTallies(), Reads: p, Ages: e.Set.RolloutAges(), Assist: e.assistReport(), Active: e.Set.Active(e.overdue, time.Now()), Poison: e.Relay.TakePoison()},
		Known:  e.state, Wait: longPollWait,
	}
	q.Report.Budget, q.Report.Holding = e.Relay.ReportBudget()
	q.Report.WarmUp.Wishes = e.Set.ColdWishes(time.Now())
	if e.Relay.Speeds != nil {
		q.Known.SharesSpeeds, q.Report.Speeds = true, e.takeSpeeds()
	}
	q.Report.Demand = e.Relay.ReportDemand()
	q.Known.HostsSum = ctlrpc.HostsSum(e.hosts)
	q.Known.WantsNeighbours = time.Since(e.neighboursAt) > neighboursInterval
	if first {
		q.Known.Control = ""
		q.Leaving, q.Known.FleetSum = e.Set.Leaving(), e.Set.FingerprintSum()
	}
	return q
}

// resend makes the next report hold all that a control host may lack.
func (e *Entry) resend() {
	e.Relay.ResendTallies()
	e.Relay.Poison.Resend()
	if e.Relay.Speeds != nil {
		e.Relay.Speeds.Resend()
	}
}

// leaveStale goes on with another control host if one has said that it has a leader before the current one replied that it has none.
// One that has said so since then isn't gone on with yet: a leader was elected, and the current one may hear of it just as soon.
func (e *Entry) leaveStale() {
	for {
		select {
		case a := <-e.search.answerC():
			if e.useAnswer(a) {
				return
			}
		default:
			e.wait(stalePause)
			return
		}
	}
}

// wait waits for a time. Without a connection it waits no longer than until the search finds a control host with a leader.
func (e *Entry) wait(d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	var c <-chan answer
	if e.client == nil {
		c = e.search.answerC()
	}
	for {
		select {
		case <-t.C:
			return
		case <-e.stop:
			return
		case <-e.search.dueC():
			e.seek(e.isConnected)
			e.useOverdueFirst(false)
		case d := <-e.search.toldC():
			e.learn(d)
		case a := <-c:
			if e.useAnswer(a) {
				return
			}
		}
	}
}

// useAnswer makes the connection of an answer the current one if its control host has a leader. It reports whether it did.
func (e *Entry) useAnswer(a answer) bool {
	c, ok := e.takeAnswer(a, e.isConnected)
	if ok {
		e.closeConnection(ErrStale)
		e.useConnection(a.address, c)
		e.leads = true
	}
	return ok
}

// takeAnswer records an answer of the search. It returns the connection to a control host with a leader, unless that is to be left out.
func (e *Entry) takeAnswer(a answer, leaveOut func(address string) bool) (*rpc.Client, bool) {
	e.search.take(a)
	if !a.leads || leaveOut(a.address) {
		return nil, false
	}
	return e.search.use(a.address), true
}

// isConnected reports whether the current connection is to a control host.
func (e *Entry) isConnected(address string) bool { return e.client != nil && address == e.address }

// currentAge returns the time since the last reply of a control host that was current, or since the start before the first one.
func (e *Entry) currentAge() time.Duration { return time.Since(time.Unix(0, e.lastCurrent.Load())) }

// endSearch ends the search, if there is one.
func (e *Entry) endSearch() {
	if e.search != nil {
		e.search.end()
		e.search = nil
	}
}

// connect returns the current connection. If there is none, it opens one to the first of several control hosts that
// answers.
func (e *Entry) connect() (*rpc.Client, error) {
	if e.client != nil {
		return e.client, nil
	}
	a, c, err := connectFirst(e.candidates(e.isLast))
	if err != nil {
		e.recordLoss(err)
		e.search.widen()
		e.address = ""
		return nil, err
	}
	e.useConnection(a, rpc.NewClient(c))
	return e.client, nil
}

// useConnection makes a new connection the current one. The control host may lack this host's state.
func (e *Entry) useConnection(address string, c *rpc.Client) {
	e.address, e.client, e.leads = address, c, false
	e.current.Store(c)
	e.state.Control = ""
	e.resend()
	e.Relay.Poison.AdoptWatch(poison.WatchUpdate{New: true}) // a control host of an older build names no keys
	e.Relay.BeginBudget()
}

// isLast reports whether a control host is the one connected to before, unless that is the only one.
func (e *Entry) isLast(address string) bool {
	return address == e.address && len(e.roster.Members()) > 1
}

// candidates returns the control hosts to connect to: up to maxCandidates random ones of those that aren't to be left out, members of the
// control log before others.
func (e *Entry) candidates(leaveOut func(address string) bool) []string {
	var m, o []string
	for _, a := range e.places() {
		switch {
		case leaveOut(a):
		case slices.Contains(e.roster.Members(), a):
			m = append(m, a)
		default:
			o = append(o, a)
		}
	}
	rand.Shuffle(len(m), func(i, j int) { m[i], m[j] = m[j], m[i] })
	rand.Shuffle(len(o), func(i, j int) { o[i], o[j] = o[j], o[i] })
	l := append(m, o...)
	return l[:min(len(l), maxCandidates)]
}

// recordLoss logs a failed exchange and begins the search for a control host with a leader, but only at the first one of several in a
// row.
func (e *Entry) recordLoss(err error) {
	if e.search != nil {
		return
	}
	e.Log.WithError(err).WithField("control", e.address).Warn("entry: dependency lost, the control host doesn't answer")
	e.search = newSearch()
}

// closeConnection closes the connection after a failed exchange.
func (e *Entry) closeConnection(err error) {
	e.recordLoss(err)
	if e.client == nil {
		return
	}
	if err := e.client.Close(); err != nil && !errors.Is(err, rpc.ErrShutdown) {
		e.Log.WithError(err).Debug("entry: closing a connection failed")
	}
	e.client = nil
	e.current.Store(nil)
}
