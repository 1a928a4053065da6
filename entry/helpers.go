package entry

import (
	"net/rpc"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/assist"
	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
)

const (
	// helperInterval is the interval at which control hosts are asked for hosts to send requests through, while requests
	// need them. firstHelperInterval replaces it in the first firstHelperTime.
	helperInterval      = 500 * time.Millisecond
	firstHelperInterval = 70 * time.Millisecond
	firstHelperTime     = time.Second
	// assistReportEvery is the number of exchanges after which this host reports again what it reaches.
	assistReportEvery = 2
	// helperTimeout bounds the wait for the answer.
	helperTimeout = 300 * time.Millisecond
	// helperMargin is added to the age of what other hosts report, for the time that messages between hosts take.
	helperMargin = 60 * time.Millisecond
)

// Assisting is what an entry host needs to send requests for others. The zero value is that of a host that doesn't.
type Assisting struct {
	// Address and Token are where and with what other hosts may send their requests.
	Address, Token string
	Bound          *assist.Bound
}

// assistReport returns what this host reports for hosts that reach no endpoint. Only every assistReportEvery-th exchange has
// it, and all of a host that stops.
func (e *Entry) assistReport() ctlrpc.Assist {
	if e.sequence%assistReportEvery != 0 && !e.stopping.Load() {
		return ctlrpc.Assist{}
	}
	a := ctlrpc.Assist{DataCentre: e.Settings.DataCentre, Address: e.Assisting.Address, Token: e.Assisting.Token, Stopping: e.stopping.Load()}
	if e.Assisting.Bound != nil {
		a.Taken = e.Assisting.Bound.Taken()
	}
	a.Answered = e.Set.Answered(time.Now())
	return a
}

// helperFinder asks control hosts for hosts to send requests through while this host needs them.
type helperFinder struct {
	entry *Entry
	// known is the number of hosts in the last answer.
	known int
}

func (f *helperFinder) run() {
	for {
		select {
		case <-f.entry.Relay.SeekWake():
		case <-f.entry.stop:
			return
		}
		f.seek()
	}
}

// seek asks again and again while requests need other hosts.
func (f *helperFinder) seek() {
	e := f.entry
	for b := time.Now(); e.Relay.Seeking(); {
		f.ask()
		p := helperInterval
		if time.Since(b) < firstHelperTime {
			p = firstHelperInterval
		}
		select {
		case <-time.After(p):
		case <-e.stop:
			return
		}
	}
	e.Log.Info("assist: other hosts are no longer needed")
	f.known = 0
}

// ask asks the control host of the current connection once.
func (f *helperFinder) ask() {
	e := f.entry
	c := e.current.Load()
	if c == nil {
		return
	}
	b := time.Now()
	var r ctlrpc.HelperReply
	d := c.Go(ctlrpc.ServiceName+".Helpers", ctlrpc.HelperRequest{Host: e.Settings.Name, DataCentre: e.Settings.DataCentre}, &r, make(chan *rpc.Call, 1))
	select {
	case <-d.Done:
	case <-time.After(helperTimeout):
		return
	}
	if d.Error != nil {
		e.Log.WithError(d.Error).Debug("assist: a control host didn't name other hosts")
		return
	}
	l := helpers(r, b)
	if f.known != len(l) {
		e.Log.WithFields(logrus.Fields{"hosts": len(l), "before": f.known}).Info("assist: hosts to send requests through")
	}
	f.known = len(l)
	e.Relay.Helpers.Set(l, time.Now())
}

// helpers returns the hosts of a reply to a question that was sent at asked.
func helpers(r ctlrpc.HelperReply, asked time.Time) []assist.Helper {
	var l []assist.Helper
	for _, h := range r.Helpers {
		a := assist.Helper{Host: h.Host, DataCentre: h.DataCentre, Address: h.Address, Token: h.Token, Taken: h.Taken, AnsweredAt: map[ctlrpc.Pool]time.Time{}}
		for k, d := range h.Answered {
			a.AnsweredAt[k] = asked.Add(-d - helperMargin)
		}
		l = append(l, a)
	}
	return l
}
