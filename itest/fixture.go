package itest

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// API key and names of the customer, the model versions and the plain service of the fixture.
const (
	APIKey       = "rollhilfe-key"
	Customer     = "rollhilfe"
	SmallVersion = "fitting-small@1"
	LargeVersion = "fitting-large@1"
	ServiceName  = "desk"
)

// ThreeHosts returns three hosts in two data centres. The first host is the only voter.
func ThreeHosts() []HostSpec {
	return []HostSpec{
		{Name: "bern1", DataCentre: "bern-halle", Voter: true},
		{Name: "bern2", DataCentre: "bern-halle"},
		{Name: "olten1", DataCentre: "olten-halle"},
	}
}

// NineHosts returns three hosts in each of three data centres. The first host of each data centre is a voter.
func NineHosts() []HostSpec {
	var r []HostSpec
	for _, d := range []string{"bern", "olten", "aarau"} {
		for i := range 3 {
			r = append(r, HostSpec{Name: fmt.Sprintf("%s%d", d, i+1), DataCentre: d + "-halle", Voter: i == 0})
		}
	}
	return r
}

// Contract returns the contract of the fixture customer.
func Contract() model.Contract {
	return model.Contract{
		Customer: Customer, KeyHashes: []string{model.HashKey(APIKey)}, Versions: []string{SmallVersion, LargeVersion},
		Classes: []model.ClassTerms{
			{Class: "fitting", Quality: 0.6, Priority: model.PriorityInteractive},
			{Class: "draft", Quality: 0.6, Priority: model.PriorityBatch},
			{Class: "agreement", Quality: 0.6, Priority: model.PriorityNormal, RunsOnce: true},
		},
		Share: 1, MaxOutputTokens: 4000, Price: model.Price{InputMicros: 1000, OutputMicros: 2000},
		Services: []model.Service{{Prefix: "/desk/", Name: ServiceName, NonRepeatable: []string{"book"}}},
	}
}

// Configure declares the versions of the fixture and applies its contract through h. It returns once both are in force on
// all hosts.
func (c *Cluster) Configure(h *Host) {
	c.t.Helper()
	for _, v := range []model.Version{
		{Name: SmallVersion, Cost: model.Price{InputMicros: 40, OutputMicros: 160}, Trusted: true},
		{Name: LargeVersion, Cost: model.Price{InputMicros: 400, OutputMicros: 1600}, Trusted: true},
	} {
		c.MustChange(h, "declare-"+v.Name, admpb.Operation_OPERATION_DECLARE_VERSION, "", v)
	}
	c.MustChange(h, "contract-1", admpb.Operation_OPERATION_APPLY_CONTRACT, "", Contract())
}

// MustChange resends a change under the same id until it is in force on all hosts, and fails the test after 30 s.
func (c *Cluster) MustChange(h *Host, id string, op admpb.Operation, name string, document any) {
	c.t.Helper()
	Eventually(c.t, 30*time.Second, func() error {
		r, err := Change(context.Background(), h, id, 0, op, name, document)
		if err == nil && !r.GetAccepted() {
			err = fmt.Errorf("change is pending in %v", r.GetPending())
		}
		return err
	})
}

// StartEngine starts a fake model engine that announces itself to the hosts of its data centre. If the options give no
// capacity, it is 16.
func (c *Cluster) StartEngine(id, dataCentre string, o fakes.EngineOptions) *fakes.Engine {
	c.t.Helper()
	in, _ := c.InDataCentre(dataCentre)
	o.ID, o.DataCentre, o.Listener, o.Hosts = id, dataCentre, listen(c.t), c.CallerAddresses(in)
	if o.Capacity == 0 {
		o.Capacity = 16
	}
	e := fakes.NewEngine(o)
	c.t.Cleanup(e.Close)
	return e
}

// StartService starts a fake plain service that announces itself to the hosts of its data centre.
func (c *Cluster) StartService(id, dataCentre string) *fakes.Service {
	c.t.Helper()
	in, _ := c.InDataCentre(dataCentre)
	s := fakes.NewService(fakes.ServiceOptions{
		ID: id, DataCentre: dataCentre, Name: ServiceName, Listener: listen(c.t), Hosts: c.CallerAddresses(in),
	})
	c.t.Cleanup(s.Close)
	return s
}

// listen returns a listener on a free port of 127.0.0.1.
func listen(t testing.TB) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// WaitEndpoints waits until each host is connected and knows at least the given number of endpoints.
func (c *Cluster) WaitEndpoints(endpoints int) {
	c.t.Helper()
	Eventually(c.t, 20*time.Second, func() error {
		s, err := Statuses(context.Background(), c.Hosts[0])
		if err != nil {
			return err
		}
		for _, h := range s {
			if int(h.GetEndpoints()) < endpoints || h.GetStanding() != "connected" {
				return fmt.Errorf("%s knows %d endpoints and its standing is %s", h.GetName(), h.GetEndpoints(), h.GetStanding())
			}
		}
		return nil
	})
}
