package relay

import "github.com/sirupsen/logrus"

// noteBarred logs the first refusal of a service in a rollout that lets none of the versions run of which there are endpoints. An operator has
// to order a rollout to one that may run.
func (j *job) noteBarred() {
	n, x := j.relay.Endpoints.Barred(j.service.Name)
	if n == 0 {
		return
	}
	if o, ok := j.relay.barredNoted.Swap(j.service.Name, x); ok && o == x {
		return
	}
	j.log().WithFields(logrus.Fields{"service": j.service.Name, "serial": x, "barred": n}).Error("request: the service has endpoints, but none of a version that may run; order a roll-out to a good version")
}
