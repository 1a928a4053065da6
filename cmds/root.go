// Package cmds implements the commands of the hickoryshelf program.
package cmds

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// Run parses the command line args, of which the first is the name of the program, and runs the command. The command
// writes its output to out. Run returns an error for a wrong command line or a failed command.
func Run(ctx context.Context, args []string, out io.Writer) error {
	c := &cli.Command{
		Name:   "hickoryshelf",
		Usage:  "routes requests to versions of language models under customers' contracts",
		Writer: out,
		Commands: []*cli.Command{
			serveCommand(), initCommand(), checkCommand(), keyCommand(),
			contractCommand(), versionCommand(), memberCommand(), statusCommand(), billsCommand(), explainCommand(), quarantineCommand(),
			fakeCommand(), demoCommand(), benchCommand(), loadCommand(),
		},
	}
	return c.Run(ctx, args)
}

// keyCommand returns the command that prints the hash of a key.
func keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "manages bearer and operator keys",
		Commands: []*cli.Command{{
			Name:      "hash",
			Usage:     "prints the hash under which a bearer or operator key is stored",
			ArgsUsage: "KEY",
			Action: func(_ context.Context, c *cli.Command) error {
				if c.Args().Len() != 1 {
					return fmt.Errorf("expected one argument, the key")
				}
				_, err := fmt.Fprintln(c.Root().Writer, model.HashKey(c.Args().First()))
				return err
			},
		}},
	}
}
