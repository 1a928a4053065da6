package relay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/pick"
	"github.com/hickoryshelf/hickoryshelf/shed"
	"github.com/hickoryshelf/hickoryshelf/table"
	"github.com/hickoryshelf/hickoryshelf/ttft"
)

// admit decides whether a request is sent at all. Where loads are shed, only such a request earns a part of a retry.
func (j *job) admit() bool {
	if j.relay.Shed == nil {
		return true
	}
	j.noteDemand()
	if j.refuseIfShed() {
		return false
	}
	j.relay.Budget.Deposit(j.service.Name, j.relay.Now())
	return true
}

// noteDemand adds the request to the demand for its service, and draws the numbers by which package shed decides on it.
func (j *job) noteDemand() {
	if !j.mayShed() {
		return
	}
	j.draw, j.returnDraw = rand.Float64(), rand.Float64()
	j.relay.Shed.Add(j.service.Name, shed.Use{
		Kind: j.route.Name, Account: j.account, Priority: j.priority, SlotTime: j.modelHoldTime(j.smallestModel()),
		Work: j.leastWork(), Objective: j.route.Objective,
	}, j.relay.Now())
}

// mayShed reports whether package shed decides on the request: only where endpoints say how many they run at once does this host know
// whether there is room.
func (j *job) mayShed() bool { return j.relay.Shed != nil && j.service.Slots > 0 }

// smallestModel returns the name of the smallest model that may answer, or an empty text if the caller chooses it.
func (j *job) smallestModel() string {
	if len(j.route.Tiers) == 0 || j.tierAsked {
		return j.model()
	}
	return j.route.Tiers[0]
}

// leastWork returns what startWork returns where the smallest model answers.
func (j *job) leastWork() time.Duration {
	m := j.smallestModel()
	if j.route.Kind != table.Stream {
		return j.modelHoldTime(m)
	}
	return ttft.BaseLatency + j.relay.Prefill.PrefillTime(m, j.modelCost(m), j.request.Prompt.Tokens)
}

// maxLoadAge is the age up to which loads of other hosts count for a refusal. A host that is cut off would else go on to refuse requests by the last ones.
const maxLoadAge = 3 * time.Second

// shedRequest returns the properties of the request by which package shed decides.
func (j *job) shedRequest() (shed.Request, shed.View) {
	v := j.relay.Shed.View(j.service.Name, j.relay.Now())
	n := j.endpointRequest()
	n.SlotTime, n.MaxLoadAge = v.SlotTime, maxLoadAge
	q := j.relay.Endpoints.Queue(n, time.Now())
	r := shed.Request{
		Wait: j.slotWait(q, v.SlotTime), Full: q.Full >= 1, Waiting: q.Waiting, Allowed: v.Allowed, Work: j.leastWork(), Left: time.Until(j.deadline), MeanSlotTime: v.SlotTime,
		Account: j.account, Priority: j.priority, Demand: v.Demand, Draw: j.draw, ReturnDraw: j.returnDraw,
	}
	return r, v
}

// withTiers adds the models among which a request may still choose. Only that decision needs them, and reads the queue for them once more.
func (j *job) withTiers(r shed.Request) shed.Request {
	r.Tiers = j.tierRequest()
	for _, m := range j.route.Tiers {
		r.SlotTimes = append(r.SlotTimes, j.modelHoldTime(m))
	}
	return r
}

// choosesTier reports whether the model that answers first is still to be chosen.
func (j *job) choosesTier() bool { return j.sends == 0 && len(j.route.Tiers) > 0 && !j.tierAsked }

// slotWait returns the least wait for a slot. The backlog of plain answers holds the whole time in a slot of requests that run, which is no wait for the next one.
func (j *job) slotWait(q pick.Queue, slotTime time.Duration) time.Duration {
	if j.route.Kind == table.Stream {
		return q.Least
	}
	return time.Duration(float64(slotTime) * float64(q.Waiting) / float64(j.service.Slots))
}

// refuseIfShed decides on a request that no endpoint has run, refuses it if that loses least, and reports whether it did. It chooses the model unless
// the caller has.
func (j *job) refuseIfShed() bool {
	if !j.mayShed() || j.mayHaveRun || j.runs > 0 || j.answerBegun {
		return false
	}
	r, v := j.shedRequest()
	chooses := j.choosesTier()
	if chooses {
		r = j.withTiers(r)
	}
	d := j.relay.shedder.First(r)
	if chooses {
		j.tier = d.Tier
	}
	j.countShed(d.Outcome.String())
	if d.Outcome == shed.Serve {
		if d.Mean < 1 {
			j.logShed(r, v, d)
		}
		return false
	}
	j.logShed(r, v, d)
	j.noRetryReason = d.Outcome.String()
	j.refuse(Overloaded, d.RetryAfter)
	return true
}

// mayTakeLarger reports whether the answer of a larger model may be asked for: it isn't where others are refused for its work.
func (j *job) mayTakeLarger() bool {
	if !j.mayShed() {
		return true
	}
	r, v := j.shedRequest()
	if j.relay.shedder.MayEscalate(r) {
		return true
	}
	j.countShed("keep")
	j.logShed(r, v, shed.Decision{Tier: j.tier})
	return false
}

// countShed counts a decision of package shed.
func (j *job) countShed(outcome string) {
	j.relay.Metrics.GetOrCreateCounter(fmt.Sprintf("shed_decisions_total{route=%q,outcome=%q}", j.route.Name, outcome)).Inc()
}

// logShed logs a decision of package shed with its inputs. Times are in ms. demand-age is that of the fleet's demand, left out where this
// host used its own.
func (j *job) logShed(r shed.Request, v shed.View, d shed.Decision) {
	f := logrus.Fields{
		"outcome": d.Outcome.String(), "wait": r.Wait.Milliseconds(), "allowed": r.Allowed.Milliseconds(), "full": r.Full, "mean-share": d.Mean, "share": d.Share, "draw": r.Draw,
		"priority": j.priority, "model": j.model(), "account-work": v.Demand.Accounts[j.account], "service-work": v.Demand.Total(), "retry-after": d.RetryAfter.Milliseconds(),
	}
	if v.Fleet {
		f["demand-age"] = v.Age.Milliseconds()
	}
	j.log().WithFields(f).Info("request: weighed against the others that wait")
}

// ReportDemand returns the demand that this host has seen, or nothing if it isn't due or loads aren't shed.
func (r *Relay) ReportDemand() ctlrpc.Demand {
	if r.Shed == nil {
		return ctlrpc.Demand{}
	}
	return ctlrpc.Demand{Services: r.Shed.Report(r.Now())}
}

// AdoptDemand takes over the demand of the fleet that a control host has sent.
func (r *Relay) AdoptDemand(d ctlrpc.Demand) {
	if r.Shed != nil && d.HasServices() {
		r.Shed.Adopt(d.Services, d.Order(), d.Age, r.Now())
	}
}
