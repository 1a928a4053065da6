package cmds

import (
	"context"
	"encoding/json"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/stress"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "drives callers against running hosts and prints what they saw as one JSON object",
		Flags: adminFlags(
			&cli.StringSliceFlag{Name: "host", Required: true, Usage: "caller address of a host; may be repeated"},
			&cli.StringFlag{Name: "direct", Usage: "address of an engine that gets half of the requests itself, to compare"},
			&cli.StringFlag{Name: "version", Usage: "version that direct requests name"},
			&cli.StringFlag{Name: "key", Value: demoKey, Usage: "bearer key"},
			&cli.StringFlag{Name: "class", Value: "fitting", Usage: "task class"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "requests a second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "length of the load"},
			&cli.IntFlag{Name: "tokens", Value: 20, Usage: "tokens of each answer"},
			&cli.FloatFlag{Name: "streamed", Value: 1, Usage: "share of streamed requests"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the load"},
			&cli.StringSliceFlag{Name: "engine", Usage: "address of a stand-in engine whose counts are compared with the bills"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			r, err := stress.Run(ctx, stress.Options{
				Hosts: c.StringSlice("host"), DirectEngine: c.String("direct"), Version: c.String("version"), Key: c.String("key"),
				Class: c.String("class"), Rate: c.Float("rate"), Duration: c.Duration("duration"), MaxTokens: c.Int("tokens"),
				StreamedShare: c.Float("streamed"), Seed: c.Uint64("seed"), Engines: c.StringSlice("engine"),
			})
			if err != nil {
				return err
			}
			p := loadReport{Report: r}
			if len(c.StringSlice("engine")) > 0 {
				if p.Bills, err = matchBills(ctx, c); err != nil {
					return err
				}
			}
			return json.NewEncoder(c.Root().Writer).Encode(p)
		},
	}
}

// loadReport is a load's report with the comparison of bills.
type loadReport struct {
	stress.Report
	Bills *billMatch `json:"bills,omitempty"`
}

// billMatch compares the bills with what the engines ran.
type billMatch struct {
	Lines int `json:"lines"`
	Ran   int `json:"ran"`
	// Unbilled ran and have no line; Unrun have a line and did not run; Twice have two lines.
	Unbilled int `json:"unbilled"`
	Unrun    int `json:"unrun"`
	Twice    int `json:"twice"`
}

func matchBills(ctx context.Context, c *cli.Command) (*billMatch, error) {
	l, err := stress.StartedAttempts(ctx, c.StringSlice("engine"))
	if err != nil {
		return nil, err
	}
	a, err := adminClient(c)
	if err != nil {
		return nil, err
	}
	b, err := a.Bills(ctx, connect.NewRequest(&admpb.BillsRequest{}))
	if err != nil {
		return nil, err
	}
	e := make(map[string]bool)
	for _, r := range l {
		if r.Attempt != "" {
			n, _, _ := strings.Cut(r.Attempt, ".")
			e[n] = true
		}
	}
	m := &billMatch{Lines: len(b.Msg.GetLines()), Ran: len(e)}
	s := make(map[string]bool)
	for _, x := range b.Msg.GetLines() {
		if s[x.GetRequestId()] {
			m.Twice++
		}
		s[x.GetRequestId()] = true
		if !e[x.GetRequestId()] {
			m.Unrun++
		}
	}
	for n := range e {
		if !s[n] {
			m.Unbilled++
		}
	}
	return m, nil
}
