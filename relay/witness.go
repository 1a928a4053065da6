package relay

import (
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
)

// witness is who states that an attempt has not run, which a refusal that promises so rests on.
type witness int

const (
	// nobody means that the attempt ran or may have run.
	nobody witness = iota // nobody
	// ownWitness means that this host sent no byte of the attempt.
	ownWitness // this-host
	// endpointWitness means that the endpoint refused the attempt.
	endpointWitness // endpoint
	// helperWitness means that the host between declined, confirmed that it never begins, or sent no byte to the endpoint.
	helperWitness // helper
)

// witnessOf returns who states that the attempt has not run.
func (u *upstreamAttempt) witnessOf(r Reply, h Hop) witness {
	switch {
	case r.Verdict != NotRun:
		return nobody
	case h.Result == Declined, h.Confirmed:
		return helperWitness
	case r.Status != 0:
		return endpointWitness
	case u.way == pick.Relayed && h.Result == Delivered:
		return helperWitness
	}
	return ownWitness
}

// lastAttemptFields returns where the latest attempt went, and who states that it has not run, as fields of the line of a refusal, or
// nothing if there was no attempt.
func (j *job) lastAttemptFields() logrus.Fields {
	u := j.current
	if u == nil {
		return nil
	}
	return logrus.Fields{"endpoint": u.choice.ID, "relayed-by": u.helper.Host, "not-run-by": u.notRunBy.String()}
}
