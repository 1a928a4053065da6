// Command platform plays a review case: of five control hosts two are away for some seconds, and then two of the three others lose their
// disks.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/hickoryshelf/hickoryshelf/review/cluster"
)

const (
	controls = 5
	// awayTime is how long the first two are away, and backTime the time from their return to the loss of the disks.
	awayTime = 4 * time.Second
	backTime = 500 * time.Millisecond
	// downTime is how long those that lose their disks are down.
	downTime = time.Second
	// recoverTime is how long the operator waits before it reads, which is longer than the bounds in force want (recover-s is 12, and 15 on
	// larger sites). It reads for readTime, which is longer than contact-ms. An answer that comes by then counts.
	recoverTime = 15 * time.Second
	readTime    = 30 * time.Second
)

// operator sends orders to control hosts.
type operator struct {
	cluster *cluster.Cluster
	record  *cluster.Recorder
	client  http.Client
}

func name(n int) string { return fmt.Sprintf("control%d", n) }

// put sends a version of the configuration to the control hosts in turn until it is acknowledged.
func (o *operator) put(version int, hosts []int) bool {
	b := fmt.Sprintf(`{"version":%d,"routes":[],"services":[],"limits":{},"tenants":[]}`, version)
	for t := time.Now(); time.Since(t) < 10*time.Second; time.Sleep(100 * time.Millisecond) {
		for _, n := range hosts {
			a, err := o.client.Post("http://"+o.cluster.Address(n, cluster.AdminPort)+"/config/put", "application/json", strings.NewReader(b))
			if err != nil {
				continue
			}
			_ = a.Body.Close()
			if a.StatusCode == http.StatusOK {
				o.record.Logf("version %d is acknowledged by %s", version, name(n))
				return true
			}
		}
	}
	return false
}

// get returns the status and the version that a control host answers a read with, or 0.
func (o *operator) get(n int) (status, version int) {
	a, err := o.client.Get("http://" + o.cluster.Address(n, cluster.AdminPort) + "/config/get")
	if err != nil {
		return 0, 0
	}
	defer a.Body.Close() //nolint:errcheck // it was read
	var v struct{ Version int }
	b, err := io.ReadAll(a.Body)
	if err == nil {
		_ = json.Unmarshal(b, &v) // the version stays 0
	}
	return a.StatusCode, v.Version
}

// awaitVoters waits until all five vote, as the log of one of them says.
func (o *operator) awaitVoters() bool {
	for t := time.Now(); time.Since(t) < 20*time.Second; time.Sleep(200 * time.Millisecond) {
		for n := 1; n <= controls; n++ {
			b, err := os.ReadFile(o.cluster.LogPath(name(n)))
			if err != nil {
				return false
			}
			for l := range bytes.Lines(b) {
				var v struct{ Voters []string }
				if json.Unmarshal(l, &v) == nil && len(v.Voters) == controls {
					return true
				}
			}
		}
	}
	return false
}

func (o *operator) startAll() error {
	for n := 1; n <= controls; n++ {
		if err := o.start(n, true); err != nil {
			return err
		}
	}
	return nil
}

func (o *operator) start(n int, first bool) error {
	return o.cluster.Start(name(n), n, map[string]any{"part": "control", "found": first})
}

// disrupt makes two hosts go away and come back, and then two others lose their disks. Between the two, version 2 is acknowledged.
func (o *operator) disrupt() error {
	for n := 4; n <= controls; n++ {
		o.cluster.Kill(name(n))
	}
	o.record.Logf("control4 and control5 are killed")
	time.Sleep(awayTime)
	if !o.put(2, []int{1, 2, 3}) {
		return fmt.Errorf("version 2 isn't acknowledged")
	}
	for n := 4; n <= controls; n++ {
		if err := o.start(n, false); err != nil {
			return err
		}
	}
	o.record.Logf("control4 and control5 are back, with their disks")
	time.Sleep(backTime)
	for n := 1; n <= 2; n++ {
		o.cluster.Kill(name(n))
		if err := o.cluster.Wipe(name(n)); err != nil {
			return err
		}
	}
	o.record.Logf("control1 and control2 lose their disks")
	time.Sleep(downTime)
	for n := 1; n <= 2; n++ {
		if err := o.start(n, false); err != nil {
			return err
		}
	}
	o.record.Logf("control1 and control2 are back, with empty disks")
	return nil
}

// play returns 0 to 2, see main.
func (o *operator) play(trouble bool) int {
	if err := o.startAll(); err != nil || !o.awaitVoters() || !o.put(1, []int{1, 2, 3, 4, 5}) {
		o.record.Logf("can't run: the five control hosts don't come up: %v", err)
		return 2
	}
	if !trouble {
		if !o.put(2, []int{1, 2, 3}) {
			return 2
		}
	} else if err := o.disrupt(); err != nil {
		o.record.Logf("can't run: %v", err)
		return 2
	}
	time.Sleep(recoverTime)
	o.record.Logf("the operator reads for %v", readTime)
	s, last := map[string]int{}, map[int]string{}
	for t := time.Now(); time.Since(t) < readTime; time.Sleep(200 * time.Millisecond) {
		for n := 1; n <= controls; n++ {
			c, v := o.get(n)
			w := fmt.Sprintf("%s: status %d, version %d", name(n), c, v)
			if s[w]++; last[n] != w {
				o.record.Logf("%s", w) // equal answers after it are only counted
				last[n] = w
			}
			if c == http.StatusOK && v < 2 {
				o.record.Logf("%s answers version %d; CONFIG is broken", name(n), v)
				return 1
			}
			if c == http.StatusOK {
				o.record.Logf("%s answers version %d; CONFIG held", name(n), v)
				return 0
			}
		}
	}
	for k, n := range s {
		o.record.Logf("%s, %d times", k, n)
	}
	o.record.Logf("the acknowledged version isn't read back; CONFIG is broken")
	return 1
}

// main exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
func main() {
	r, err := cluster.NewRecorder(os.Args[2])
	if err != nil {
		os.Exit(2)
	}
	c, err := cluster.New(os.Args[1], map[string]any{
		"grace": "8s", "drain": "2000ms", "heartbeat": "1200ms", "session-gap": "5s", "retry-ratio": 0.9, "retry-window": "10s", "retry-slack": 58,
		"exposure-share": 0.15, "exposure-extra": 30, "configuration-apply": "2000ms",
	})
	if err != nil {
		os.Exit(2)
	}
	o := &operator{cluster: c, record: r, client: http.Client{Timeout: time.Second}}
	s := o.play(os.Getenv("TROUBLE") != "0")
	c.Close()
	os.Exit(s)
}
