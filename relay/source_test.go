package relay_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/reach"
	"github.com/hickoryshelf/hickoryshelf/relay"
)

// Guards against a refusal whose line doesn't tell on whose word it promises that the request has not run.
func TestRefusalTellsWhoSaysThatTheRequestHasNotRun(t *testing.T) {
	for n, c := range map[string]struct {
		reply  relay.Reply
		hop    *relay.Hop // nil for an attempt that is sent directly
		want   string
		reason relay.Reason
	}{
		"refused by the endpoint":              {notRun(), nil, "endpoint", relay.NoEndpoint},
		"no connection":                        {unreachable(), nil, "this-host", relay.NoEndpoint},
		"may have run":                         {unknown(), nil, "nobody", relay.AnswerLost},
		"refused by the endpoint, relayed":     {notRun(), &relay.Hop{}, "endpoint", relay.NoEndpoint},
		"no connection of the helper":          {unreachable(), &relay.Hop{}, "helper", relay.NoEndpoint},
		"declined by the helper":               {relay.Reply{Verdict: relay.NotRun}, &relay.Hop{Result: relay.Declined}, "helper", relay.CutOff},
		"not begun, as the helper confirms":    {relay.Reply{Verdict: relay.NotRun}, &relay.Hop{Result: relay.Lost, Confirmed: true}, "helper", relay.CutOff},
		"no connection to the helper":          {relay.Reply{Verdict: relay.NotRun}, &relay.Hop{Result: relay.Lost}, "this-host", relay.CutOff},
		"may have been begun by a lost helper": {relay.Reply{Verdict: relay.Unknown}, &relay.Hop{Result: relay.Lost}, "nobody", relay.AnswerLost},
	} {
		t.Run(n, func(t *testing.T) {
			inSynctest(t, func(_ *testing.T, i *is.I) {
				w := newHarness(1, func(int, context.Context, relay.Attempt) relay.Reply { return c.reply })
				if c.hop != nil {
					d := &detour{answer: func(int, context.Context, relay.Attempt) (relay.Reply, relay.Hop) { return c.reply, *c.hop }}
					defer w.withDetour(d, 0, unanswered)()
					w.loseLinks("desk", 1, reach.Silent)
					time.Sleep(600 * time.Millisecond) // helpers were looked for in vain
					w.nameHelpers(1)
				}
				s := &sink{}
				w.serveTo(context.Background(), s, "r1", "/book/1", "key")
				i.Equal(s.refusal.Reason, c.reason)
				l := w.linesOf("r1", logrus.WarnLevel)
				v := l[len(l)-1].Data
				i.Equal(v["not-run-by"], c.want)
				i.Equal(v["endpoint"], "desk0")
				i.Equal(v["relayed-by"] != "", c.hop != nil)
			})
		})
	}
}
