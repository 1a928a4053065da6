package entry

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/roster"
)

const (
	// neighboursInterval is the interval at which control hosts are asked for the addresses of other entry hosts.
	neighboursInterval = 10 * time.Second
	// maxNeighboursAsked bounds the entry hosts that are asked for control hosts at the same time.
	maxNeighboursAsked = 2
)

// SetSeeds adopts the seeds of newer settings.
func (e *Entry) SetSeeds(peers []string) { e.seeds.Store(&peers) }

// Directory returns what this host knows of control hosts.
func (e *Entry) Directory() ctlrpc.Directory {
	d := ctlrpc.Directory{CurrentAgeMS: e.currentAge().Milliseconds()}
	if p := e.directory.Load(); p != nil {
		d.Controls = p.Controls
	}
	d.Table = e.tableVersion()
	return d
}

// adoptSeeds puts seeds of newer settings in the roster.
func (e *Entry) adoptSeeds() {
	if l := e.seeds.Swap(nil); l != nil {
		e.setRoster(e.roster.WithSeeds(*l))
	}
}

// setRoster replaces the roster, also in what other entry hosts are told.
func (e *Entry) setRoster(r roster.Roster) {
	e.roster = r
	e.directory.Store(&ctlrpc.Directory{Controls: r.All()})
}

// places returns where a control host may be found: the members of the control log, or, once the search is wide, all
// addresses that are known.
func (e *Entry) places() []string {
	e.adoptSeeds()
	if e.search.isWide() {
		return e.roster.All()
	}
	return e.roster.Members()
}

// seek asks control hosts for one with a leader, and other entry hosts for control hosts once the search is wide. It tells from time to time
// how long there has been none.
func (e *Entry) seek(leaveOut func(address string) bool) {
	l := e.places()
	e.search.ask(l, leaveOut)
	if e.search.isWide() {
		e.askNeighbours()
	}
	if e.search.isLogDue() {
		e.Log.WithFields(logrus.Fields{
			"since": time.Since(e.search.since).Milliseconds(), "current-age": e.currentAge().Milliseconds(), "asked": l, "neighbours": len(e.neighbours), "table": e.tableVersion(),
		}).Warn("entry: no control host with a leader is found; what is served may be out of date")
	}
}

// learnFromReply takes over where hosts are from the reply of a control host. What one that isn't current says of the members may be old.
func (e *Entry) learnFromReply(r ctlrpc.ExchangeReply) {
	e.adoptSeeds()
	if r.Current {
		e.setRoster(e.roster.WithMembers(r.Controls))
	} else {
		e.setRoster(e.roster.WithHeard(r.Controls))
	}
	if len(r.Neighbours) > 0 {
		e.neighbours, e.neighboursAt = r.Neighbours, time.Now()
	}
}

// askNeighbours asks some other entry hosts for control hosts, at most maxNeighboursAsked at the same time.
func (e *Entry) askNeighbours() {
	if e.AskDirectory == nil {
		return
	}
	l := slices.Clone(e.neighbours)
	rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	for _, a := range l[:max(0, min(len(l), maxNeighboursAsked-e.search.asking))] {
		e.search.asking++
		q := directoryQuestion{address: a, ask: e.AskDirectory, told: e.search.told, over: e.search.over}
		go q.run()
	}
}

// learn takes over what another entry host knows, and asks the control hosts that are new at once.
func (e *Entry) learn(d directoryAnswer) {
	e.search.asking--
	if d.err != nil {
		e.Log.WithError(d.err).WithField("neighbour", d.address).Debug("entry: another entry host didn't name control hosts")
		return
	}
	l := slices.DeleteFunc(slices.Clone(d.directory.Controls), func(a string) bool { return e.roster.Has(a) || e.search.named[a] })
	e.setRoster(e.roster.WithHeard(d.directory.Controls))
	if len(l) == 0 {
		return
	}
	e.Log.WithFields(logrus.Fields{
		"neighbour": d.address, "controls": l, "its-table": d.directory.Table, "its-current-age": d.directory.CurrentAgeMS, "table": e.tableVersion(),
	}).Warn("entry: another entry host names control hosts that this one didn't know")
	e.search.name(l)
	e.search.hurry()
}

// directoryQuestion asks one entry host which control hosts it knows.
type directoryQuestion struct {
	address string
	ask     func(address string) (ctlrpc.Directory, error)
	told    chan<- directoryAnswer
	over    <-chan struct{}
}

// directoryAnswer is the end of a directoryQuestion.
type directoryAnswer struct {
	address   string
	directory ctlrpc.Directory
	err       error
}

func (q directoryQuestion) run() {
	a := directoryAnswer{address: q.address}
	a.directory, a.err = q.ask(q.address)
	select {
	case q.told <- a:
	case <-q.over:
	}
}
