package itest_test

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// clockTicksPerSecond is the number of units per second in which /proc reports processor time.
const clockTicksPerSecond = 100

// controlCost is the cost of the control protocols at one cluster size. CorePercentMean and SentBytesPerSecond are means
// over the hosts, and CorePercentMax and SentBytesMax the largest values of a host. ResidentMB is the largest resident
// memory of a host. The latencies are in milliseconds: Accepted is from sending a change to its acceptance on all hosts,
// Failover from killing the leader to the next committed change.
type controlCost struct {
	Hosts              int     `json:"hosts"`
	Endpoints          int     `json:"endpoints"`
	CorePercentMean    float64 `json:"core-percent"`
	CorePercentMax     float64 `json:"core-percent-max"`
	ResidentMB         float64 `json:"resident-mb"`
	SentBytesPerSecond float64 `json:"sent-bytes-a-second"`
	SentBytesMax       float64 `json:"sent-bytes-a-second-max"`
	AcceptedP50        float64 `json:"accepted-p50-ms"`
	AcceptedP99        float64 `json:"accepted-p99-ms"`
	FailoverP50        float64 `json:"failover-p50-ms"`
	FailoverWorst      float64 `json:"failover-worst-ms"`
}

// sample is the processor time of a host in seconds and the bytes that the host has sent, both since its start.
type sample struct {
	cpu  float64
	sent int64
}

// sampleHosts returns one sample for each host of c, in the order of c.Hosts.
func sampleHosts(t *testing.T, c *itest.Cluster) []sample {
	t.Helper()
	s, err := itest.Statuses(context.Background(), c.Hosts[0])
	if err != nil {
		t.Fatal(err)
	}
	r := make([]sample, len(c.Hosts))
	for k, h := range c.Hosts {
		b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.Pid()))
		f := strings.Fields(string(b))
		u, _ := strconv.ParseFloat(f[13], 64)
		v, _ := strconv.ParseFloat(f[14], 64)
		r[k] = sample{(u + v) / clockTicksPerSecond, 0}
		for _, x := range s {
			if x.GetName() == h.Name {
				r[k].sent = x.GetBytesOut()
			}
		}
	}
	return r
}

// residentMB returns the resident memory of the process of h in MiB, or 0 if /proc has no value.
func residentMB(h *itest.Host) float64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.Pid()))
	for l := range strings.Lines(string(b)) {
		if v, ok := strings.CutPrefix(l, "VmRSS:"); ok {
			n, _ := strconv.ParseFloat(strings.Fields(v)[0], 64)
			return n / 1024
		}
	}
	return 0
}

// hostSpecs returns the given number of hosts spread over three data centres, with one voter in each.
func hostSpecs(hosts int) []itest.HostSpec {
	var r []itest.HostSpec
	for k := range hosts {
		d := []string{"bern", "olten", "aarau"}[k%3]
		r = append(r, itest.HostSpec{Name: fmt.Sprintf("%s%d", d, k/3+1), DataCentre: d + "-halle", Voter: k < 3})
	}
	return r
}

// TestMeasureControl measures the cost of the control protocols if PROOF_MEASURE is set to a list of cluster sizes, as
// numbers of hosts and endpoints such as "3x12,9x12,27x12". It prints one JSON object for each size.
func TestMeasureControl(t *testing.T) {
	if os.Getenv("PROOF_MEASURE") == "" {
		t.Log("not measured; set PROOF_MEASURE to sizes such as 3x12,9x12,27x12")
		return
	}
	for z := range strings.SplitSeq(os.Getenv("PROOF_MEASURE"), ",") {
		var h, e int
		if _, err := fmt.Sscanf(z, "%dx%d", &h, &e); err != nil {
			t.Fatal(err)
		}
		t.Run(z, func(t *testing.T) {
			b, err := json.Marshal(measureControl(t, h, e))
			is.New(t).NoErr(err)
			fmt.Println(string(b))
		})
	}
}

// measureControl starts a cluster of the given size and measures it idle for 15 s, during 100 changes and in 5 failovers.
func measureControl(t *testing.T, hosts, endpoints int) controlCost {
	t.Helper()
	x := context.Background()
	c := itest.StartCluster(t, binary, hostSpecs(hosts))
	for k := range endpoints {
		d := []string{"bern-halle", "olten-halle", "aarau-halle"}[k%3]
		c.StartEngine(fmt.Sprintf("engine-%d", k), d, fakes.EngineOptions{Versions: []string{itest.SmallVersion}})
	}
	c.Configure(c.Hosts[0])
	c.WaitEndpoints(endpoints)
	waitVoters(t, c, 3)
	f := controlCost{Hosts: hosts, Endpoints: endpoints}
	const idle = 15 * time.Second
	a := sampleHosts(t, c)
	time.Sleep(idle)
	b := sampleHosts(t, c)
	for k, h := range c.Hosts {
		p := 100 * (b[k].cpu - a[k].cpu) / idle.Seconds()
		s := float64(b[k].sent-a[k].sent) / idle.Seconds()
		f.CorePercentMean += p / float64(hosts)
		f.SentBytesPerSecond += s / float64(hosts)
		f.CorePercentMax, f.SentBytesMax = max(f.CorePercentMax, p), max(f.SentBytesMax, s)
		f.ResidentMB = max(f.ResidentMB, residentMB(h))
	}
	var l []float64
	for k := range 100 {
		s := time.Now()
		r, err := itest.Change(x, c.Hosts[k%hosts], fmt.Sprintf("m-%d", k), 0, declareOp, "", version(fmt.Sprintf("m@%d", k)))
		if err != nil || !r.GetAccepted() {
			t.Errorf("change %d: response %v, error %v", k, r, err)
		}
		l = append(l, float64(time.Since(s).Microseconds())/1000)
		time.Sleep(20 * time.Millisecond)
	}
	slices.Sort(l)
	f.AcceptedP50, f.AcceptedP99 = l[50], l[98]
	l = nil
	for k := range 5 {
		l = append(l, failover(t, c, k))
	}
	slices.Sort(l)
	f.FailoverP50, f.FailoverWorst = l[2], l[4]
	return f
}

// failover kills the leader and returns the milliseconds until a change is committed through another host.
func failover(t *testing.T, c *itest.Cluster, round int) float64 {
	t.Helper()
	l := waitLeader(t, c, c.Hosts[len(c.Hosts)-1])
	c.Kill(l)
	o := c.AllExcept(l)
	s := time.Now()
	itest.Eventually(t, 20*time.Second, func() error {
		_, err := itest.Change(context.Background(), o[len(o)-1], fmt.Sprintf("f-%d", round), 0, declareOp, "", version(fmt.Sprintf("f@%d", round)))
		return err
	})
	d := float64(time.Since(s).Microseconds()) / 1000
	c.StartHost(l)
	waitVoters(t, c, 3)
	return d
}
