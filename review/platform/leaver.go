package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// servers is the number of servers, of which leavers leave, each leaverGap after the one before.
	servers   = 6
	leavers   = 3
	leaverGap = 30 * time.Millisecond
	// coreDown is how long the killed processes of the core are down, and lingerTime how long a server that leaves serves on
	// after its ack.
	coreDown   = 600 * time.Millisecond
	lingerTime = 15 * time.Second
)

// playForgottenLeaver has servers deregister that serve on for some seconds. Right after the ack to the last of them, all
// processes of the core are killed, and are back within a second with their disks. Requests must not reach that server later
// than drain-ms after its ack, as far as machines in touch pass them on.
func playForgottenLeaver(r *record, trouble bool) error {
	c, err := newCluster(r, 3, 9)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return err
	}
	if err := eventually(15*time.Second, func() error {
		_, _, err := c.call(0, http.MethodPost, "/config/put", deskConfig(1))
		return err
	}); err != nil {
		return fmt.Errorf("no ack for the configuration: %w", err)
	}
	r.print("operator: the configuration is acknowledged")
	var l []*server
	for k := range servers {
		s, err := startServer(c, k, "desk", 20*time.Millisecond)
		if err != nil {
			return err
		}
		defer s.close()
		l = append(l, s)
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	k := startClients(c, 18, http.MethodGet, "/look/x", 150*time.Millisecond)
	time.Sleep(4 * time.Second)
	acks := make([]time.Time, leavers)
	for n := range leavers {
		if n > 0 {
			time.Sleep(leaverGap)
		}
		p, err := l[n].deregister(n)
		if err != nil {
			return fmt.Errorf("no ack for a server that leaves: %w", err)
		}
		acks[n] = time.Now()
		if trouble && n == leavers-1 {
			killAll(c.controls)
		}
		r.print("server %s: %s has acknowledged that it leaves", l[n].id, p.name)
	}
	touch := time.Time{}
	if trouble {
		time.Sleep(coreDown)
		for _, p := range c.controls {
			if err := p.start(false); err != nil {
				return err
			}
		}
		r.print("platform: the processes of the core are back, %d ms after they were killed", time.Since(acks[leavers-1]).Milliseconds())
		touch = time.Now().Add(2 * contactTime) // as after a final fault that took most of the core
	}
	time.Sleep(time.Until(acks[leavers-1].Add(lingerTime)))
	k.close()
	r.print("clients: %d requests served, %d not", k.served, k.others)
	return checkLeavers(r, k, l[:leavers], acks, touch)
}

// checkLeavers returns errBroken if requests reached servers that were sent later than drain-ms after their acks, and when
// all machines were in touch.
func checkLeavers(r *record, k *clients, l []*server, acks []time.Time, touch time.Time) error {
	total := 0
	for n, s := range l {
		b := acks[n].Add(drainTime)
		if b.Before(touch) {
			b = touch
		}
		late, last := 0, time.Duration(0)
		for _, a := range s.arrived() {
			if t, ok := k.sentAt(a.id); ok && t.After(b) {
				late++
				last = t.Sub(acks[n])
			}
		}
		r.print("server %s: %d requests that were sent later than %d ms after its ack reached it, the last one %d ms after it", s.id, late, b.Sub(acks[n]).Milliseconds(), last.Milliseconds())
		total += late
	}
	if total > 0 {
		return fmt.Errorf("DRAIN: %w: %d requests reached servers that had left", errBroken, total)
	}
	return nil
}

// deskConfig returns a configuration with a route for requests that may be repeated and one for streams.
func deskConfig(version int) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{
				"name": "look", "host": "desk.example", "path-prefix": "/look/", "type": "safe", "timeout-ms": 800, "slo-ms": 300, "priority": 2, "service": "desk", "attempts": 2, "public": true,
			},
			map[string]any{
				"name": "draft", "host": "desk.example", "path-prefix": "/draft/", "type": "stream", "timeout-ms": 25000, "slo-ms": 3000, "priority": 0, "service": "draft", "attempts": 3, "public": true,
				"sticky": true, "resumable": true, "itl-target-ms": 1000,
			},
		},
		"services": []any{
			map[string]any{"name": "desk", "health-path": "/healthz", "max-conns": 110, "protocol": "h1", "tls": false},
			map[string]any{"name": "draft", "health-path": "/healthz", "max-conns": 370, "protocol": "h1", "tls": false},
		},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}
