// Package cmds is the command tree.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// Run runs the command line; output goes to out.
func Run(ctx context.Context, args []string, out io.Writer) error {
	c := &cli.Command{
		Name:   "hickoryshelf",
		Usage:  "routes requests to versions of language models under customers' contracts",
		Writer: out,
		Commands: []*cli.Command{
			serveCommand(), initCommand(), checkCommand(), keyCommand(),
			contractCommand(), versionCommand(), memberCommand(), statusCommand(), billsCommand(), explainCommand(),
			fakeCommand(), demoCommand(), benchCommand(), loadCommand(),
		},
	}
	return c.Run(ctx, args)
}

func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "works with keys",
		Commands: []*cli.Command{{
			Name:      "hash",
			Usage:     "prints the hash under which a bearer or operator key is stored",
			ArgsUsage: "KEY",
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return fmt.Errorf("give one key")
				}
				_, err := fmt.Fprintln(c.Root().Writer, model.HashKey(c.Args().First()))
				return err
			},
		}},
	}
}
