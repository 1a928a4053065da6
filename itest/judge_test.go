package itest_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// TestJudgedAnswers has the cheap version turn bad while answers of a judged class are asked for, streamed
// and plain, for a minute: the bad answers are held back and the other version runs the requests.
func TestJudgedAnswers(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	c := itest.StartCluster(t, binary, itest.ThreeHosts())
	o := fakes.EngineOptions{Versions: []string{itest.SmallVersion, itest.LargeVersion}, Interval: time.Millisecond, Quality: map[string]float64{itest.SmallVersion: 0.85, itest.LargeVersion: 0.95}}
	e := c.StartEngine("engine-1", "bern-halle", o)
	n, err := net.Listen("tcp", "127.0.0.1:0")
	i.NoErr(err)
	r := fakes.NewRater(fakes.RaterOptions{ID: "rater", DataCentre: "bern-halle", Listener: n, Hosts: c.CallerAddresses(c.Hosts), PerSecond: 1000})
	defer r.Close()
	c.Configure(c.Hosts[0])
	k := itest.Contract()
	k.Classes[0].Judge = true
	c.MustChange(c.Hosts[0], "judge", admpb.Operation_OPERATION_APPLY_CONTRACT, "", k)
	c.WaitEndpoints(2)
	for m := range 200 { // evidence gathers until the cheap version is proved
		a := post(c.Hosts[m%3], chatPath, chat("auto", fmt.Sprint(m), 5))
		i.Equal(a.status, 200)
	}
	i.Equal(post(c.Hosts[1], chatPath, chat("auto", "x", 5)).header.Get("Hickoryshelf-Version"), itest.SmallVersion)
	e.SetFaults(fakes.EngineFaults{Version: itest.SmallVersion, QualityDrop: 0.4})
	bad, w := 0, 0
	for d := time.Now().Add(time.Minute); time.Now().Before(d); time.Sleep(60 * time.Millisecond) {
		m := w
		w++
		a, err := streamText(x, c.Hosts[m%3], fmt.Sprintf("after %d", m), 5)
		i.NoErr(err)
		i.NoErr(checkTokens(a, 5))
		if strings.Contains(a, itest.SmallVersion) {
			bad++
		}
	}
	t.Logf("%d of the minute's %d answers came from the version that had turned bad", bad, w)
	i.True(bad <= w/100) // the users' target: one in a hundred of the minute after it turns
	b, err := itest.Bills(x, c.Hosts[0], "")
	i.NoErr(err)
	i.Equal(len(b), 201+w) // escalated requests have one line too
}
