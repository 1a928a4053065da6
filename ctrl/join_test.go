package ctrl_test

import (
	"errors"
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/ctrl"
	"github.com/hickoryshelf/hickoryshelf/itest"
)

// rejoinTime bounds the time until a control host that hears of another one is in its control log.
const rejoinTime = 8 * time.Second

// Guards against a control host that never joins again: the members of its log and the seeds of its settings were all replaced while it was
// out of reach.
func TestControlHostJoinsOnceAllThatItKnewAreGone(t *testing.T) {
	for n, tell := range map[string]func(h *ctrl.Host, other string){
		"an entry host knows another one": func(h *ctrl.Host, _ string) { reportEntryHost(h) },
		"newer settings name another one": func(h *ctrl.Host, other string) { h.SetSeeds([]string{other}) },
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			p := int(itest.ReservePort(t, "127.0.0.1", "127.0.0.2", "127.0.0.3"))
			a, _ := startHost(t, startOptions{Seeds: []string{"127.0.0.3"}, IP: "127.0.0.3", Port: p})
			t.Cleanup(a.Stop)
			o := fmt.Sprint("127.0.0.3:", p)
			ask := func(address string) (ctlrpc.Directory, error) {
				if address != "entry" {
					return ctlrpc.Directory{}, errors.New("no such host")
				}
				return ctlrpc.Directory{Controls: []string{o}}, nil
			}
			b, _ := startHost(t, startOptions{IP: "127.0.0.2", Port: p, AskDirectory: ask}) // nothing listens at its seed
			t.Cleanup(b.Stop)
			tell(b, o)
			itest.Eventually(t, rejoinTime, func() error {
				r, err := a.Exchange(ctlrpc.ExchangeRequest{})
				if err == nil && !slices.Contains(r.Controls, fmt.Sprint("127.0.0.2:", p)) {
					err = fmt.Errorf("the control hosts are %v", r.Controls)
				}
				return err
			})
			i.True(a.Current())
		})
	}
}

// reportEntryHost sends the report of an entry host.
func reportEntryHost(h *ctrl.Host) {
	_, _ = h.Exchange(ctlrpc.ExchangeRequest{Report: ctlrpc.HostReport{Host: "e", Start: 1, Sequence: 1, Assist: ctlrpc.Assist{Address: "entry"}}})
}
