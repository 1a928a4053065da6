package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

const (
	// cutTime is how long machines are partitioned from all servers.
	cutTime = 10 * time.Second
	// leastShare is the least share of first tries served at partitioned machines, in relation to the others, and of all first
	// tries failAllowed and one in failOneIn may fail there.
	leastShare  = 2.0 / 3
	failAllowed = 10
	failOneIn   = 50
)

// playPartition partitions two of six entry hosts from all servers: their channels to servers are reset, old ones and those
// that they open. Clients and other machines still reach them, and they reach the core. From contact-ms on, first tries there
// have to be served about as often as elsewhere.
func playPartition(r *record, trouble bool) error {
	c, err := newCluster(r, 3, 6)
	if err != nil {
		return err
	}
	defer c.close()
	var l []*server
	for k := range servers {
		s, err := startServer(c, k, "desk", 20*time.Millisecond)
		if err != nil {
			return err
		}
		defer s.close()
		l = append(l, s)
	}
	var t []*tunnel
	for k, p := range c.entries {
		u, err := newTunnel(fmt.Sprintf("%s.%d", c.subnet, 200+k), l)
		if err != nil {
			return err
		}
		p.tunnel = u.ip
		t = append(t, u)
	}
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.putConfig(1); err != nil {
		return err
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	k := startClients(c, 18, http.MethodGet, "/look/x", 100*time.Millisecond)
	time.Sleep(4 * time.Second)
	cut := map[string]bool{c.entries[0].name: true, c.entries[3].name: true}
	b := time.Now()
	r.print("platform: partitions %s and %s from all servers: %v", c.entries[0].name, c.entries[3].name, trouble)
	t[0].setCut(trouble)
	t[3].setCut(trouble)
	time.Sleep(cutTime)
	e := time.Now()
	t[0].setCut(false)
	t[3].setCut(false)
	r.print("platform: the partition ends")
	time.Sleep(2 * time.Second)
	k.close()
	return checkPartition(r, k, cut, b.Add(contactTime), e)
}

// checkPartition returns errBroken if clients' tries at partitioned machines were served too rarely from begin to end.
func checkPartition(r *record, k *clients, cut map[string]bool, begin, end time.Time) error {
	var n, served [2]int
	kinds := map[string]int{}
	for _, a := range k.answers {
		if a.sent.Before(begin) || a.sent.After(end) {
			continue
		}
		i := 0
		if cut[a.machine] {
			i = 1
			kinds[a.status]++
		}
		n[i]++
		if strings.HasPrefix(a.status, "200") {
			served[i]++
		}
	}
	if n[0] == 0 || n[1] == 0 || served[0] == 0 {
		return fmt.Errorf("too few requests: %v, served %v", n, served)
	}
	x, y := float64(served[0])/float64(n[0]), float64(served[1])/float64(n[1])
	r.print("clients: first tries sent later than contact-ms after the cut began: %d of %d served at the partitioned machines (%.2f), %d of %d at the others (%.2f)", served[1], n[1], y, served[0], n[0], x)
	r.print("clients: what they got at the partitioned machines: %v", kinds)
	if fails := n[1] - served[1]; y < leastShare*x && fails > failAllowed+(n[0]+n[1])/failOneIn {
		return fmt.Errorf("RECOVER: %w: %d of %d first tries fail at partitioned machines", errBroken, fails, n[1])
	}
	return nil
}
