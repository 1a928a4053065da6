package relay

import (
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/pick"
)

// verdictSource is who states that an attempt has not run, which a refusal that promises so rests on.
type verdictSource int

const (
	// noSource means that the attempt ran or may have run.
	noSource verdictSource = iota // nobody
	// ownSource means that this host sent no byte of the attempt.
	ownSource // this-host
	// endpointSource means that the endpoint refused the attempt.
	endpointSource // endpoint
	// helperSource means that the host between declined, confirmed that it never begins, or sent no byte to the endpoint.
	helperSource // helper
)

// sourceOf returns who states that the attempt has not run.
func (u *upstreamAttempt) sourceOf(r Reply, h Hop) verdictSource {
	switch {
	case r.Verdict != NotRun:
		return noSource
	case h.Result == Declined, h.Confirmed:
		return helperSource
	case r.Status != 0:
		return endpointSource
	case u.way == pick.Relayed && h.Result == Delivered:
		return helperSource
	}
	return ownSource
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
