package relay

import "github.com/sirupsen/logrus"

// noteDrains logs the first refusal of a service since the last change of drains for which endpoints of drained data centres are missing.
func (j *job) noteDrains() {
	n, x := j.relay.Endpoints.Withheld(j.service.Name)
	if n == 0 {
		return
	}
	if o, ok := j.relay.drainsNoted.Swap(j.service.Name, x); ok && o == x {
		return
	}
	j.log().WithFields(logrus.Fields{
		"service": j.service.Name, "drained": j.relay.Endpoints.DrainedCentres(), "index": x, "withheld": n, "endpoints": j.relay.Endpoints.ReadyCounts()[j.service.Name],
	}).Warn("drain: first refusal for lack of endpoints outside the drained data centres")
}
