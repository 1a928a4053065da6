package entry

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/table"
)

// firstTableWait is how long a host without a configuration looks for a control host that is current before it starts with what another one
// has sent. It leaves time to ask all known addresses after electionTime.
const firstTableWait = 2 * time.Second

// offer is a routing table that a control host has sent.
type offer struct {
	table   table.Table
	control string
	// current is whether that control host could tell that it had the newest table, and applied is what it had applied of the control log.
	current bool
	applied uint64
}

// firstOffer is the table that a host without one holds back, since no control host that is current has sent it: one that was cut off or
// replaced goes on to hand out the table that it had then. Control hosts are told that this host has it, and send only newer ones.
type firstOffer struct {
	offer
	// since is when the first such table came.
	since time.Time
}

// holdBack keeps an offer until a current control host replies or none is found.
func (e *Entry) holdBack(o offer) {
	if e.first == nil {
		e.first = &firstOffer{since: time.Now()}
	}
	e.first.offer = o
	e.Log.WithFields(o.fields()).Warn("entry: a configuration is held back, its control host isn't current; looking for one that is")
}

// useFirst puts the table that was held back in force, if there is one.
func (e *Entry) useFirst() {
	if f := e.first; f != nil {
		e.Log.WithFields(f.fields()).WithField("held", time.Since(f.since).Milliseconds()).Info("entry: the configuration that was held back is used")
		e.putInForce(f.offer)
	}
}

// useOverdueFirst is useFirst once no current control host was found in firstTableWait: a data centre that is cut off serves by what it has.
// asksLeader is set while the reply of a control host is awaited that has said that it has a leader; then it is slowReplyTimeout.
func (e *Entry) useOverdueFirst(asksLeader bool) {
	if e.first == nil {
		return
	}
	d := firstTableWait
	if asksLeader {
		d = slowReplyTimeout
	}
	if time.Since(e.first.since) >= d {
		e.useFirst()
	}
}

// putInForce puts a table in force unless the one that is has the same or a higher version. What was held back is dropped.
func (e *Entry) putInForce(o offer) {
	e.first = nil
	b := e.tableVersion()
	if e.Relay.SetTable(o.table) {
		e.Log.WithFields(o.fields()).WithField("before", b).Info("entry: configuration in force")
	}
}

// fields returns the offer as fields of a log line.
func (o offer) fields() logrus.Fields {
	return logrus.Fields{"version": o.table.Version, "control": o.control, "current": o.current, "applied": o.applied, "routes": len(o.table.Routes)}
}

// tableVersion returns the version of the table in force, or 0 if there is none.
func (e *Entry) tableVersion() int64 {
	if t := e.Relay.Table(); t != nil {
		return t.Version
	}
	return 0
}
