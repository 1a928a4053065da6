package table_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/table"
)

func validTable() table.Table {
	return table.Table{
		Version:  3,
		Services: []table.Service{{Name: "desk"}, {Name: "draft"}},
		Routes: []table.Route{
			{Name: "a", Host: "x", Prefix: "/", Timeout: time.Second, Shares: []table.Share{{Service: "desk", Weight: 1}}},
			{Name: "b", Host: "x", Prefix: "/long/", Timeout: time.Second, Shares: []table.Share{{Service: "draft", Weight: 1}}},
		},
		Accounts: []table.Account{{Name: "one", Keys: []string{"k1", "k2"}}, {Name: "two", Keys: []string{"k3"}}},
	}
}

func TestLongestPrefixWins(t *testing.T) {
	i := is.New(t)
	b, err := table.New(validTable())
	i.NoErr(err)
	for _, c := range []struct {
		host, path, want string
	}{{"x", "/long/1", "b"}, {"x", "/long", "a"}, {"x", "/longer/", "a"}, {"x", "/", "a"}, {"y", "/", ""}} {
		r, ok := b.Route(c.host, c.path)
		i.Equal(ok, c.want != "")
		i.Equal(r.Name, c.want)
	}
	a, ok := b.Account("k2")
	i.True(ok)
	i.Equal(a.Name, "one")
	_, ok = b.Account("")
	i.True(!ok)
}

func TestInvalidTables(t *testing.T) {
	for n, f := range map[string]func(*table.Table){
		"unknown service":            func(b *table.Table) { b.Routes[0].Shares[0].Service = "none" },
		"unknown service of its own": func(b *table.Table) { b.Routes[0].Service = "none" },
		"no service":                 func(b *table.Table) { b.Routes[0].Shares = nil },
		"no weight":                  func(b *table.Table) { b.Routes[0].Shares[0].Weight = 0 },
		"negative weight":            func(b *table.Table) { b.Routes[0].Shares[0].Weight = -1 },
		"no timeout":                 func(b *table.Table) { b.Routes[0].Timeout = 0 },
		"same prefix":                func(b *table.Table) { b.Routes[1].Prefix = "/" },
		"prefix without final slash": func(b *table.Table) { b.Routes[1].Prefix = "/long" },
		"shared key":                 func(b *table.Table) { b.Accounts[1].Keys = []string{"k1"} },
		"service twice":              func(b *table.Table) { b.Services[1].Name = "desk" },
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			b := validTable()
			f(&b)
			_, err := table.New(b)
			var e *table.ValidationError
			i.True(errors.As(err, &e))
			i.True(e.Remedy != "")
		})
	}
}

// Guards against a route that names one service and gets no share.
func TestServiceOfRouteGetsWhatIsNotShared(t *testing.T) {
	i := is.New(t)
	b := validTable()
	b.Routes[0].Service, b.Routes[0].Shares = "draft", nil
	b.Routes[1].Service = "desk"
	n, err := table.New(b)
	i.NoErr(err)
	i.Equal(n.Routes[0].Shares, []table.Share{{Service: "draft", Weight: 1}})
	i.Equal(n.Routes[1].Shares, []table.Share{{Service: "draft", Weight: 1}})
	i.Equal(len(b.Routes[0].Shares), 0) // the caller's slice stays as it is
}

func TestDrawServiceFollowsWeights(t *testing.T) {
	i := is.New(t)
	r := table.Route{Shares: []table.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 0}, {Service: "c", Weight: 10}}}
	n := map[string]int{}
	for k := range 1000 {
		n[r.DrawService(float64(k)/1000)]++
	}
	i.Equal(n["a"], 900)
	i.Equal(n["b"], 0)
	i.Equal(n["c"], 100)
}

// Guards against a service with the weight 0 that gets requests: the sum of the other weights is beyond the range of a float, or is
// reached only after rounding.
func TestServiceOfWeight0GetsNoRequest(t *testing.T) {
	for _, w := range [][]float64{{1e308, 1.7e308, 0}, {0.1, 0.2, 0}, {5e-324, 0, 0}} {
		i := is.New(t)
		r := table.Route{Shares: []table.Share{{Service: "a", Weight: w[0]}, {Service: "b", Weight: w[1]}, {Service: "none", Weight: w[2]}}}
		for _, d := range []float64{0, 0.3, 0.9999999999999999, 1} {
			s := r.DrawService(d)
			i.True(s == "a" || s == "b" && w[1] > 0)
		}
	}
}

// Guards against requests without a key that are taken for those of an account that has an empty one.
func TestEmptyKeyIsNoKey(t *testing.T) {
	i := is.New(t)
	b := validTable()
	b.Accounts[0].Keys = []string{"", "k1"}
	n, err := table.New(b)
	i.NoErr(err)
	_, ok := n.Account("")
	i.True(!ok)
	b.Accounts[1].Keys = []string{""}
	_, err = table.New(b)
	i.True(err != nil) // the two accounts share it
}

// Guards against a configuration with many routes of one host that is acknowledged and in force only after tens of seconds: each route is
// compared with all others.
func TestManyRoutesOfOneHostAreCheckedInTime(t *testing.T) {
	i := is.New(t)
	b := validTable()
	b.Routes = nil
	for k := range 100_000 {
		b.Routes = append(b.Routes, table.Route{Host: "x", Prefix: fmt.Sprintf("/routes/%d/", k), Timeout: time.Second, Service: "desk"})
	}
	s := time.Now()
	_, err := table.New(b)
	i.NoErr(err)
	i.True(time.Since(s) < 3*time.Second)
	b.Routes = append(b.Routes, b.Routes[7])
	_, err = table.New(b)
	i.True(err != nil)
}
