package cmds

import (
	"context"
	"encoding/json"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/bench"
)

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "compares the routing policies with baselines on a simulated trace and prints one JSON object",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "rollhilfe", Usage: "simulated deployment: rollhilfe or savinja"},
			&cli.StringFlag{Name: "scenario", Value: "steady", Usage: strings.Join(bench.ScenarioNames(), ", ")},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of the random numbers that generate the trace"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			r, err := bench.Run(c.String("deployment"), c.String("scenario"), c.Uint64("seed"))
			if err != nil {
				return err
			}
			return json.NewEncoder(c.Root().Writer).Encode(r)
		},
	}
}
