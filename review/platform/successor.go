package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

const (
	// catchUp is the time from the start of a successor on after which the machine that it replaces doesn't count as lost
	// (catch-up-s), and catchUpMargin how much longer the trial waits until it stops that machine.
	catchUp       = 4 * time.Second
	catchUpMargin = 300 * time.Millisecond
	// secondLoss is the time from the end of that machine to the loss of another one's disk: contact-ms and a little more, so
	// that the core counts as stable again by then. wipedDown is how long that one is down.
	secondLoss = contactTime + 300*time.Millisecond
	wipedDown  = time.Second
	// recoverTime is recover-s, within which service may be suspended. longRead is for how long the trial reads on after
	// that and contact-ms, to see whether the configuration comes at all.
	recoverTime = 12 * time.Second
	longRead    = 45 * time.Second
)

// playSecondLoss has one machine of the core replaced as planned: another one is added at a new address, and once that has had
// catch-up-s, the first one gets SIGTERM and is removed for good. Then a second machine loses its disk. Nothing that was
// acknowledged may be lost: at the end, the configuration has to be read back.
func playSecondLoss(r *record, trouble bool) error {
	c, err := newCluster(r, 3, 3)
	if err != nil {
		return err
	}
	defer c.close()
	if err := c.startAll(); err != nil {
		return err
	}
	if err := c.putConfig(1); err != nil {
		return err
	}
	if err := c.awaitReady(); err != nil {
		return err
	}
	time.Sleep(5 * time.Second)
	if trouble {
		if err := c.loseTwo(); err != nil {
			return err
		}
	} else if err := c.putConfig(2); err != nil {
		return err
	}
	r.print("operator: reads the configuration back, for %d s", int((recoverTime+contactTime)/time.Second))
	version := 0
	read := func() error {
		_, b, err := c.call(0, http.MethodGet, "/config/get", nil)
		if err != nil {
			r.write("operator: read: %v", err)
			return err
		}
		var v struct {
			Version int `json:"version"`
		}
		if err := json.Unmarshal(b, &v); err != nil {
			return err
		}
		version = v.Version
		return nil
	}
	if err := eventually(recoverTime+contactTime, read); err != nil {
		e := eventually(longRead, read)
		r.print("operator: after %d s more: version %d, %v", int(longRead/time.Second), version, e)
		return fmt.Errorf("CONFIG: %w: the configuration with version 2, which was acknowledged, doesn't come: %w", errBroken, err)
	}
	r.print("operator: reads version %d", version)
	if version != 2 {
		return fmt.Errorf("CONFIG: %w: version 2 was acknowledged, version %d is read back", errBroken, version)
	}
	return nil
}

// putConfig sends a configuration until it is acknowledged.
func (c *cluster) putConfig(version int) error {
	err := eventually(15*time.Second, func() error {
		p, _, err := c.call(version, http.MethodPost, "/config/put", deskConfig(version))
		if err == nil {
			c.record.print("operator: %s has acknowledged version %d", p.name, version)
		}
		return err
	})
	if err != nil {
		return fmt.Errorf("no ack for version %d: %w", version, err)
	}
	return nil
}

// loseTwo replaces the first machine of the core, and wipes the second one when the core is stable again. Version 2 is
// acknowledged in between.
func (c *cluster) loseTwo() error {
	r, a, b := c.record, c.controls[0], c.controls[1]
	d := &process{name: "core-3", ip: fmt.Sprintf("%s.%d", c.subnet, 4), zone: a.zone, control: true, cluster: c, seeds: c.seeds()}
	t := time.Now()
	if err := d.start(false); err != nil {
		return err
	}
	c.controls = append(c.controls, d)
	r.print("platform: %s is added at a new address, with an empty disk", d.name)
	time.Sleep(time.Until(t.Add(catchUp + catchUpMargin)))
	r.print("platform: sends SIGTERM to %s, which is removed for good, %d ms after %s was started", a.name, time.Since(t).Milliseconds(), d.name)
	a.terminate()
	e := time.Now()
	c.controls = c.controls[1:]
	if err := c.putConfig(2); err != nil {
		return err
	}
	time.Sleep(time.Until(e.Add(secondLoss)))
	killAll([]*process{b})
	if err := os.RemoveAll(filepath.Join(c.folder, b.name)); err != nil {
		return err
	}
	r.print("platform: %s loses its disk, %d ms after %s has ended and %d ms after %s was started", b.name, time.Since(e).Milliseconds(), a.name, time.Since(t).Milliseconds(), d.name)
	time.Sleep(wipedDown)
	return b.start(false)
}
