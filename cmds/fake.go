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

// fakeFlags are the flags of all stand-ins.
func fakeFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "id", Required: true, Usage: "id of the endpoint"},
		&cli.StringFlag{Name: "data-centre", Required: true, Usage: "data centre of the endpoint"},
		&cli.StringFlag{Name: "address", Value: "127.0.0.1:0", Usage: "address to listen on"},
		&cli.StringSliceFlag{Name: "host", Required: true, Usage: "caller address of an entry host; may be repeated"},
	}, more...)
}

func fakeCommand() *cli.Command {
	return &cli.Command{Name: "fake", Usage: "runs stand-ins for what the router serves", Commands: []*cli.Command{
		fakeEngineCommand(), fakeServiceCommand(), fakeRaterCommand(),
	}}
}

func fakeEngineCommand() *cli.Command {
	return &cli.Command{
		Name: "engine", Usage: "runs a stand-in for a model engine",
		Flags: fakeFlags(
			&cli.StringSliceFlag{Name: "hold", Required: true, Usage: "version that the engine holds, with its quality as in \"small@1=0.8\""},
			&cli.IntFlag{Name: "capacity", Value: 8, Usage: "requests that run at once"},
			&cli.DurationFlag{Name: "first-token", Value: 20 * time.Millisecond, Usage: "time to the first token"},
			&cli.DurationFlag{Name: "interval", Value: 5 * time.Millisecond, Usage: "time between tokens"},
			&cli.BoolFlag{Name: "checks-fence", Usage: "refuses orders with an old fencing number"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the answers' quality"},
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
		Name: "service", Usage: "runs a stand-in for a plain service",
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
		Name: "rater", Usage: "runs a stand-in for the rating service",
		Flags: fakeFlags(
			&cli.FloatFlag{Name: "per-second", Value: 20, Usage: "ratings a second"},
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

// listenFake opens the stand-in's listener and prints its address.
func listenFake(c *cli.Command) (net.Listener, error) {
	l, err := net.Listen("tcp", c.String("address"))
	if err != nil {
		return nil, fmt.Errorf("listen: %w; choose a free address of this machine", err)
	}
	_, err = fmt.Fprintln(c.Root().Writer, l.Addr())
	return l, err
}

func waitForSignal(ctx context.Context) {
	c, f := signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	defer f()
	<-c.Done()
}
