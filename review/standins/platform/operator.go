package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// operatorTimeout is how long operators wait for an answer before they go on to another daemon.
const operatorTimeout = time.Second

// order sends an order of the operator to the given control hosts in turn, with growing pauses, until one acknowledges it.
func (d *deployment) order(what, path string, body any, controls []*process) error {
	p := 50 * time.Millisecond
	for n := range 12 {
		c := controls[n%len(controls)]
		d.record.note("operator sends %s to %s", what, c.name)
		s, b, err := d.call(c, http.MethodPost, path, body, operatorTimeout)
		switch {
		case err != nil:
			d.record.note("operator gets no answer from %s", c.name)
		case s == http.StatusOK:
			d.record.note("operator gets 200 from %s: %s is acknowledged", c.name, what)
			return nil
		default:
			d.record.note("operator gets %d from %s: %s", s, c.name, b)
		}
		time.Sleep(p)
		p = min(2*p, time.Second)
	}
	return fmt.Errorf("%s isn't acknowledged", what)
}

// rolloutState is what GET /rollouts/SERVICE/get says.
type rolloutState struct {
	State  string `json:"state"`
	Target string `json:"target"`
}

// rollout reads the state of a service's rollout at the control hosts, one after the other. ok is false if none answers.
func (d *deployment) rollout(service string) (r rolloutState, ok bool) {
	for _, c := range d.controls {
		s, b, err := d.call(c, http.MethodGet, "/rollouts/"+service+"/get", nil, operatorTimeout)
		if err == nil && s == http.StatusOK && json.Unmarshal(b, &r) == nil {
			return r, true
		}
	}
	return r, false
}
