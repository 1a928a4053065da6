package cmds

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/fakes"
)

// fakeFlags returns the flags that all fakes share, followed by more.
func fakeFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "id", Required: true, Usage: "id of the endpoint"},
		&cli.StringFlag{Name: "data-centre", Required: true, Usage: "data centre of the endpoint"},
		&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.StringSliceFlag{Name: "host", Required: true, Usage: "caller address of an entry host; may be repeated"},
	}, more...)
}

func fakeCommand() *cli.Command {
	return &cli.Command{Name: "fake", Usage: "runs fakes of the endpoints behind the router, for tests and trials", Commands: []*cli.Command{
		fakeEngineCommand(), fakeServiceCommand(), fakeRaterCommand(),
	}}
}

func fakeEngineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "runs a fake model engine",
		Flags: fakeFlags(
			&cli.StringSliceFlag{Name: "hold", Required: true, Usage: "version that the engine holds, optionally with the quality of its answers, as in \"small@1=0.8\"; may be repeated"},
			&cli.IntFlag{Name: "capacity", Value: 8, Usage: "number of requests that run at the same time"},
			&cli.DurationFlag{Name: "first-token", Value: 20 * time.Millisecond, Usage: "time to the first token"},
			&cli.DurationFlag{Name: "interval", Value: 5 * time.Millisecond, Usage: "time between tokens"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuse orders with an outdated fencing number"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random quality of the answers"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := listenFake(c)
			if err != nil {
				return err
			}
			o := fakes.EngineOptions{
				ID: c.String("id"), DataCentre: c.String("data-centre"), Listener: l, Hosts: c.StringSlice("host"),
				Capacity: c.Int("capacity"), FirstToken: c.Duration("first-token"), Interval: c.Duration("interval"),
				Quality: make(map[string]float64), ChecksFence: c.Bool("checks-fence"), Seed: c.Uint64("seed"),
			}
			for _, h := range c.StringSlice("hold") {
				n, q, ok := strings.Cut(h, "=")
				o.Versions = append(o.Versions, n)
				if v, err := strconv.ParseFloat(q, 64); ok && err == nil {
					o.Quality[n] = v
				}
			}
			e := fakes.NewEngine(o)
			waitForSignal(ctx)
			s, f := context.WithTimeout(context.Background(), drainTimeout)
			defer f()
			return e.Shutdown(s)
		},
	}
}

func fakeServiceCommand() *cli.Command {
	return &cli.Command{
		Name: "service", Usage: "runs a fake of a service that isn't a model",
		Flags: fakeFlags(
			&cli.StringFlag{Name: "name", Required: true, Usage: "name of the service"},
			&cli.DurationFlag{Name: "delay", Value: 5 * time.Millisecond, Usage: "time that a call takes"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := listenFake(c)
			if err != nil {
				return err
			}
			s := fakes.NewService(fakes.ServiceOptions{
				ID: c.String("id"), DataCentre: c.String("data-centre"), Name: c.String("name"), Listener: l,
				Hosts: c.StringSlice("host"), Delay: c.Duration("delay"),
			})
			waitForSignal(ctx)
			s.Close()
			return nil
		},
	}
}

func fakeRaterCommand() *cli.Command {
	return &cli.Command{
		Name: "rater", Usage: "runs a fake rating service",
		Flags: fakeFlags(
			&cli.FloatFlag{Name: "per-second", Value: 20, Usage: "number of ratings per second"},
			&cli.DurationFlag{Name: "delay", Value: 50 * time.Millisecond, Usage: "time that a rating takes"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			l, err := listenFake(c)
			if err != nil {
				return err
			}
			r := fakes.NewRater(fakes.RaterOptions{
				ID: c.String("id"), DataCentre: c.String("data-centre"), Listener: l, Hosts: c.StringSlice("host"),
				PerSecond: c.Float("per-second"), Delay: c.Duration("delay"),
			})
			waitForSignal(ctx)
			r.Close()
			return nil
		},
	}
}

// listenFake opens the listener of a fake and prints its address.
func listenFake(c *cli.Command) (net.Listener, error) {
	l, err := net.Listen("tcp", c.String("address"))
	if err != nil {
		return nil, fmt.Errorf("listen: %w; choose a free address of this host", err)
	}
	_, err = fmt.Fprintln(c.Root().Writer, l.Addr())
	return l, err
}

// waitForSignal returns when the process gets SIGTERM or an interrupt, or when ctx ends.
func waitForSignal(ctx context.Context) {
	c, f := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer f()
	<-c.Done()
}
