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
		Usage: "sends a load of requests to running hosts and prints the results as one JSON object",
		Flags: adminFlags(
			&cli.StringSliceFlag{Name: "host", Required: true, Usage: "caller address of a host; may be repeated"},
			&cli.StringFlag{Name: "direct", Usage: "address of an engine that gets half of the requests directly, for comparison"},
			&cli.StringFlag{Name: "version", Usage: "version that the direct requests ask for"},
			&cli.StringFlag{Name: "key", Value: demoKey, Usage: "bearer key of the customer"},
			&cli.StringFlag{Name: "class", Value: "fitting", Usage: "task class of the requests"},
			&cli.FloatFlag{Name: "rate", Value: 100, Usage: "number of requests per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "duration of the load"},
			&cli.IntFlag{Name: "tokens", Value: 20, Usage: "number of tokens of each answer"},
			&cli.FloatFlag{Name: "streamed", Value: 1, Usage: "share of requests with a streamed answer, from 0 to 1"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers that generate the load"},
			&cli.StringSliceFlag{Name: "engine", Usage: "address of a fake engine whose runs are compared with the bills; may be repeated"},
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
				if p.Bills, err = compareBills(ctx, c); err != nil {
					return err
				}
			}
			return json.NewEncoder(c.Root().Writer).Encode(p)
		},
	}
}

// loadReport is the report of a load, with the comparison of the bills where engines were named.
type loadReport struct {
	stress.Report
	Bills *billComparison `json:"bills,omitempty"`
}

// billComparison counts the differences between the bills and the requests that the fake engines ran.
type billComparison struct {
	// Lines is the number of billing lines; Ran is the number of requests that an engine ran.
	Lines int `json:"lines"`
	Ran   int `json:"ran"`
	// Unbilled counts requests that ran and have no billing line, BilledNotRun billing lines of requests that didn't
	// run, BilledTwice billing lines of a request after its first one.
	Unbilled     int `json:"unbilled"`
	BilledNotRun int `json:"unrun"`
	BilledTwice  int `json:"twice"`
}

// compareBills compares the bills of all customers with the runs of the engines in the flags. Both
// include requests from before this load.
func compareBills(ctx context.Context, c *cli.Command) (*billComparison, error) {
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
	m := &billComparison{Lines: len(b.Msg.GetLines()), Ran: len(e)}
	s := make(map[string]bool)
	for _, x := range b.Msg.GetLines() {
		if s[x.GetRequestId()] {
			m.BilledTwice++
		}
		s[x.GetRequestId()] = true
		if !e[x.GetRequestId()] {
			m.BilledNotRun++
		}
	}
	for n := range e {
		if !s[n] {
			m.Unbilled++
		}
	}
	return m, nil
}
