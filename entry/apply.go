package entry

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// apply applies the reply of a control host to a request that this host sent at a time as of Relay.Now.
func (e *Entry) apply(r ctlrpc.ExchangeReply, sent time.Duration) {
	if e.search != nil && r.Current {
		e.Log.WithFields(logrus.Fields{"control": e.address, "after": time.Since(e.search.since).Milliseconds()}).Info("entry: dependency regained, a control host answers")
		e.endSearch()
	}
	if r.Current {
		e.lastCurrent.Store(time.Now().UnixNano())
	}
	e.lastExchange.Store(time.Now().UnixNano())
	e.Relay.SetSource(relay.TableSource{Control: e.address, Current: r.Current, Position: r.Position, HeardAt: time.Now()})
	// Before a configuration makes this host ready, and before endpoints of a new version are known:
	e.applyDrains(r.Drains)
	if r.Sure {
		e.Set.SetRollouts(r.Rollouts)
	}
	if len(r.Document) > 0 {
		e.applyTable(r)
	}
	e.confirmTable(r, sent)
	e.useOverdueFirst(false)
	if r.Control != e.state.Control || r.FleetRevision != e.state.FleetRevision || e.fleetPartial && !isPartial(r) {
		e.applyFleet(r)
	}
	if r.LoadsNew {
		e.Set.SetRemoteLoads(r.Loads)
	} else {
		e.Set.MergeRemoteLoads(r.Loads)
	}
	if r.PoisonSum != e.state.PoisonSum {
		e.Relay.AdoptPoison(r.Poison)
		e.state.PoisonSum = r.PoisonSum
	}
	e.Relay.Poison.AdoptWatch(r.Watch)
	e.Relay.AcceptBudget(r.Control, r.Loan, r.Grants)
	if r.Current {
		e.Set.RecordControlReply()
	}
	e.Set.AcceptPermits(r.Control, r.Permits, sent)
	e.Relay.LogCold()
	e.Relay.AdoptDemand(r.Demand)
	e.Set.MergeLimits(r.Limits, time.Now())
	e.overdue = r.Overdue
	if len(r.Hosts) > 0 {
		e.hosts = r.Hosts
	}
	e.Set.SetHosts(e.Settings.Name, e.hosts, time.Now())
	e.applySpeeds(r.Speeds)
	e.Relay.SetEntryHosts(r.Entries)
	e.learnFromReply(r)
	e.planPermits(r.Entries)
}

// unknownRevision is the EntryState.FleetRevision that makes a control host send its whole fleet.
const unknownRevision = math.MaxUint64

// isPartial reports whether a control host may not have heard of all endpoints yet. One of an older build doesn't say so, but can't have
// heard of all before it has caught up with the log.
func isPartial(r ctlrpc.ExchangeReply) bool { return r.FleetPartial || !r.Sure }

// applyFleet takes over what a reply tells of endpoints. A whole fleet replaces the endpoints that this host knows. One that may be partial
// only adds to them: what the control host has removed may report to another one. Once it has heard of all, it is asked for the whole.
func (e *Entry) applyFleet(r ctlrpc.ExchangeReply) {
	p := isPartial(r)
	switch {
	case p:
		e.Set.Merge(r.Reports, nil)
	case r.FleetNew:
		e.Set.Replace(r.Reports)
	default:
		e.Set.Merge(r.Reports, r.Gone)
	}
	e.Relay.Prefill.Adopt(r.Reads)
	e.state.Control, e.state.FleetRevision = r.Control, r.FleetRevision
	if e.fleetPartial && !p && !r.FleetNew {
		e.state.FleetRevision = unknownRevision
	}
	e.fleetPartial = p
	e.Log.WithFields(logrus.Fields{
		"control": e.address, "revision": r.FleetRevision, "changed": len(r.Reports), "gone": len(r.Gone), "whole": r.FleetNew && !p, "partial": p, "endpoints": e.Set.ReadyCounts(),
	}).Info("entry: endpoints changed")
}

// applyDrains puts a state of drains in force, unless it is older than the one that is. age is the time since the newest change, as far as
// the control host knows, in ms.
func (e *Entry) applyDrains(d ctlrpc.Drains) {
	e.expectCold(d)
	if d.Index == 0 || !e.Set.SetDrains(d, time.Now()) {
		return
	}
	f := logrus.Fields{"index": d.Index, "before": e.state.DrainIndex, "control": e.address, "drained": d.State.Drained()}
	for k, c := range d.State {
		if c.Index == d.Index {
			f["data-centre"], f["age"] = k, d.Ages[k].Milliseconds()
		}
	}
	e.state.DrainIndex = d.Index
	e.Log.WithFields(f).Warn("entry: drains in force")
}

// expectCold makes the endpoints of data centres whose drain has ended a moment ago count as cold: they may have become so while nothing was
// sent to them, and their reports come a heartbeat later, with another one for those that were under way.
func (e *Entry) expectCold(d ctlrpc.Drains) {
	if d.Index <= e.state.DrainIndex {
		return
	}
	l := 2*e.Settings.Bounds.Heartbeat.Std() + coldReportDelay
	for k, c := range d.State {
		if !c.Drained && d.Ages[k] < l {
			e.Set.TreatAsCold(k, time.Now().Add(l-d.Ages[k]))
		}
	}
}

// applyTable decodes the configuration of a reply and puts it in force, or holds it back if this host has none and the control host isn't
// current. A configuration that can't be decoded is logged and ignored. It counts as received: a control host would else send it again at
// once for as long as it is the newest.
func (e *Entry) applyTable(r ctlrpc.ExchangeReply) {
	t, err := e.Decode(r.Document)
	if err != nil {
		e.state.TableVersion = max(e.state.TableVersion, r.TableVersion)
		e.first = nil // an older one isn't begun with
		e.Log.WithError(err).WithFields(logrus.Fields{"version": r.TableVersion, "control": e.address, "table": e.tableVersion()}).Error("entry: the configuration can't be decoded")
		return
	}
	e.state.TableVersion = max(e.state.TableVersion, t.Version)
	o := offer{table: t, control: e.address, current: r.Current, applied: r.Position.Applied}
	if !r.Current && e.Relay.Table() == nil {
		e.holdBack(o)
		return
	}
	e.putInForce(o)
}

// confirmTable records that the configuration in force was the newest, if the reply comes from a control host that is current and has
// caught up with the log, before which it sends no configuration. One that was held back is then in force: that control host has none that
// is newer. The confirmation holds for when this host sent the request, less the age of what the control host knew: the reply may have been
// under way, or this process held up, for any time since. Nothing is confirmed after a newer configuration that couldn't be decoded.
func (e *Entry) confirmTable(r ctlrpc.ExchangeReply, sent time.Duration) {
	if r.Current && r.Sure {
		e.useFirst()
		if e.tableVersion() == e.state.TableVersion {
			e.Relay.Confirm(sent - r.Position.Age)
		}
	}
}
