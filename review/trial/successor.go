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
	// successorDelay is the time from the removal of a machine of the core to the start of its successor, and catchUp the time
	// after which the removed machine no longer counts as lost (catch-up-s).
	successorDelay = time.Second
	catchUp        = 4 * time.Second
	// catchUpMargin is how much longer the trial waits.
	catchUpMargin = 300 * time.Millisecond
	// wipedDown is how long the machine that loses its disk is down.
	wipedDown = time.Second
	// recoverTime is recover-s, within which service may be suspended. longRead is for how long the trial reads on after
	// that and contact-ms, to see whether the configuration comes at all.
	recoverTime = 12 * time.Second
	longRead    = 45 * time.Second
)

// playSecondLoss has one machine of the core removed for good and another one added at a new address. Once that one has had
// catch-up-s, a second machine loses its disk. Nothing that was acknowledged may be lost: at the end, the configuration has
// to be read back.
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

// loseTwo removes the first machine of the core, adds another one, and wipes the second one as soon as the first no longer
// counts as lost. Version 2 is acknowledged in between.
func (c *cluster) loseTwo() error {
	r, a, b := c.record, c.controls[0], c.controls[1]
	seeds := c.seeds()
	killAll([]*process{a})
	r.print("platform: %s is removed for good", a.name)
	time.Sleep(successorDelay)
	d := &process{name: "core-3", ip: fmt.Sprintf("%s.%d", c.subnet, 4), zone: a.zone, control: true, cluster: c, seeds: seeds}
	t := time.Now()
	c.controls = append(c.controls[1:], d)
	if err := d.start(false); err != nil {
		return err
	}
	r.print("platform: %s is added at a new address, with an empty disk", d.name)
	if err := c.putConfig(2); err != nil {
		return err
	}
	time.Sleep(time.Until(t.Add(catchUp + catchUpMargin)))
	killAll([]*process{b})
	if err := os.RemoveAll(filepath.Join(c.folder, b.name)); err != nil {
		return err
	}
	r.print("platform: %s loses its disk, %d ms after %s was started", b.name, time.Since(t).Milliseconds(), d.name)
	time.Sleep(wipedDown)
	return b.start(false)
}
