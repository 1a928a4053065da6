package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	lateHost    = "ficu95.example"
	lateService = "huvo11a"
	// frozenTime is how long a control host is frozen.
	frozenTime = 5 * time.Second
	// recoverTime is recover-s of the deployment.
	recoverTime = 12 * time.Second
	// goodTime is how long after its start the second version is good.
	goodTime = 3500 * time.Millisecond
)

// lateConfig is a configuration with one route to one service.
func lateConfig() map[string]any {
	return map[string]any{
		"version": 1,
		"routes": []any{map[string]any{
			"name": "r-6y7z5k6", "host": lateHost, "path-prefix": "/pufi791/", "type": "safe", "timeout-ms": 1500, "slo-ms": 300, "priority": 2, "service": lateService,
			"attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": lateService, "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []any{apiKey}, "priority": 1}},
	}
}

// lateOrder plays an order to start a rollout that waits at a frozen control host until a later order has replaced it.
func lateOrder(p *play) (bool, error) {
	d := p.deployment
	if err := d.begin(lateConfig()); err != nil {
		return false, err
	}
	v1, err := d.startVersion(lateService, "v1")
	if err != nil {
		return false, err
	}
	if err := d.awaitServed(); err != nil {
		return false, err
	}
	c := d.startClients(lateHost, "/pufi791/1", 14*time.Millisecond, 1500*time.Millisecond)
	b := time.Now()
	time.Sleep(4 * time.Second)
	if err := p.playOrders(v1); err != nil {
		return false, err
	}
	time.Sleep(12 * time.Second)
	f := time.Now()
	d.record.note("final fault: all processes are killed")
	for _, q := range d.all() {
		d.kill(q)
	}
	time.Sleep(500 * time.Millisecond)
	if err := d.startAll(false); err != nil {
		return false, err
	}
	d.record.note("all processes are started again")
	k := time.Now()
	time.Sleep(recoverTime + 10*time.Second)
	c.stop()
	c.summarize()
	s, n := c.share(b, f)
	d.record.note("before the final fault %d of %d requests were served", s, n)
	t, m := c.share(k.Add(recoverTime), time.Now())
	d.record.note("later than recover-s after the machines are back %d of %d requests were served", t, m)
	r, ok := d.rollout(lateService)
	d.record.note("GET /rollouts/%s/get says %+v (answered: %v); the last order was acknowledged for v3", lateService, r, ok)
	if n == 0 || m == 0 || 4*s < n {
		return false, fmt.Errorf("too few requests were served before the final fault")
	}
	return 4*t < m, nil
}

// awaitServed waits until the service answers a request.
func (d *deployment) awaitServed() error {
	return await("the first version serves", startTime, func() bool {
		s, _, err := send(http.MethodGet, fmt.Sprintf("http://%s:%d/pufi791/1", d.edges[0].ip, frontPort), lateHost, "00000000000000aa", time.Second)
		return err == nil && s == http.StatusOK
	})
}

// playOrders plays the orders for the second and the third version of the service, and the platform that starts and stops its servers.
func (p *play) playOrders(v1 []*server) error {
	d := p.deployment
	l := d.followers()
	if len(l) == 0 {
		return fmt.Errorf("no control host is known not to lead")
	}
	a := append([]*process{l[0]}, others(d.controls, l[0])...)
	if p.troubled {
		d.freeze(l[0], frozenTime)
		time.Sleep(100 * time.Millisecond)
	}
	g := time.Now()
	if err := d.order("the order for v2", "/rollouts/start", map[string]any{"service": lateService, "target": "v2", "duration-s": 1.5}, a); err != nil {
		return err
	}
	v2, err := d.startVersion(lateService, "v2")
	if err != nil {
		return err
	}
	time.AfterFunc(goodTime, func() {
		d.record.note("v2 turns bad: six in ten of its answers are failures")
		for _, s := range v2 {
			s.turnBad(0.6)
		}
	})
	if err := d.awaitEnd("v2"); err != nil {
		return err
	}
	for _, s := range v1 {
		s.crash()
	}
	d.record.note("the platform has stopped the servers of v1")
	time.Sleep(300 * time.Millisecond)
	if err := d.order("the order for v3", "/rollouts/start", map[string]any{"service": lateService, "target": "v3", "duration-s": 6}, others(d.controls, l[0])); err != nil {
		return err
	}
	if _, err := d.startVersion(lateService, "v3"); err != nil {
		return err
	}
	if e := time.Since(g); e > frozenTime {
		return fmt.Errorf("the orders took %v, longer than the freeze", e)
	}
	w := rolloutWatch{d, lateService, time.Now().Add(11 * time.Second)}
	go w.run()
	return nil
}

// rolloutWatch notes the states of a service's rollout that an operator reads, until a time.
type rolloutWatch struct {
	deployment *deployment
	service    string
	until      time.Time
}

func (w rolloutWatch) run() {
	var o rolloutState
	for time.Now().Before(w.until) {
		if r, ok := w.deployment.rollout(w.service); ok && r != o {
			w.deployment.record.note("operator reads the state of the rollout: %+v", r)
			o = r
		}
		time.Sleep(200 * time.Millisecond)
	}
}

// awaitEnd waits until the rollout to a version is done.
func (d *deployment) awaitEnd(target string) error {
	return await("the rollout to "+target+" is done", startTime, func() bool {
		r, ok := d.rollout(lateService)
		if ok && r.Target == target && r.State == "done" {
			d.record.note("operator reads that the rollout to %s is done", target)
			return true
		}
		return false
	})
}

// others returns the processes without one.
func others(l []*process, without *process) []*process {
	var r []*process
	for _, p := range l {
		if p != without {
			r = append(r, p)
		}
	}
	return r
}

// startVersion starts a server of a version in each zone.
func (d *deployment) startVersion(service, version string) ([]*server, error) {
	var r []*server
	for k := range 3 {
		s, err := d.startServer(service, version, k)
		if err != nil {
			return nil, err
		}
		r = append(r, s)
	}
	return r, nil
}

// begin starts all processes and sends the first configuration.
func (d *deployment) begin(config map[string]any) error {
	if err := d.startAll(true); err != nil {
		return err
	}
	if err := d.order("the first configuration", "/config/put", config, d.controls); err != nil {
		return err
	}
	return await("all entry hosts are ready", startTime, func() bool {
		for _, p := range d.edges {
			if !d.ready(p) {
				return false
			}
		}
		return true
	})
}
