package proxy_test

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/relay"
)

// askTimeout bounds the wait of a host for another one. It is longer than the time after which that is asked.
const askTimeout = 2 * time.Second

// asked returns the line of a host that was asked whether it had begun a request.
func (h *helping) asked() *logrus.Entry {
	for _, e := range h.log.AllEntries() {
		if strings.HasPrefix(e.Message, "relay: another host asks") {
			return e
		}
	}
	return nil
}

// Guards against a promise that a request never runs which rests on the answer of another host that nothing tells of.
func TestQuestionWhetherRequestWasBegunIsLogged(t *testing.T) {
	for n, c := range map[string]struct {
		// lost is set if the answers of the host are lost, else its calls are delayed.
		lost      bool
		token     string
		begun     any
		confirmed bool
		verdict   relay.Verdict
	}{
		"not begun":        {false, "secret", false, true, relay.NotRun},
		"begun":            {true, "secret", true, false, relay.Unknown},
		"an earlier start": {false, "earlier", nil, false, relay.Unknown},
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			h := startHelping(t, answering(bytes.NewBufferString("answer")))
			w := startWall(t, h.address, c.lost)
			x, f := context.WithTimeout(t.Context(), askTimeout)
			defer f()
			p := helper(w.listener.Addr().String())
			p.Token = c.token
			r, o := client().Send(x, p, attempt())
			i.Equal(r.Verdict, c.verdict)
			i.Equal(o.Confirmed, c.confirmed)
			e := h.asked()
			i.True(e != nil)
			i.Equal(e.Data["id"], "r1")
			i.Equal(e.Data["origin"], "me")
			i.Equal(e.Data["begun"], c.begun)
		})
	}
}
