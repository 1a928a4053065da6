package cmds

import (
	"context"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/model"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:  "check",
		Usage: "checks settings, contract, version and member files",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings file of a host"},
			&cli.StringFlag{Name: "contract", Usage: "contract file"},
			&cli.StringFlag{Name: "version", Usage: "version file"},
			&cli.StringFlag{Name: "member", Usage: "member file"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			n := 0
			for _, k := range []struct {
				flag  string
				check func(string) error
			}{
				{"settings", checkSettings},
				{"contract", checkDocument[model.Contract]},
				{"version", checkDocument[model.Version]},
				{"member", checkDocument[model.Member]},
			} {
				p := c.String(k.flag)
				if p == "" {
					continue
				}
				if err := k.check(p); err != nil {
					return err
				}
				n++
			}
			if n == 0 {
				return fmt.Errorf("nothing to check; name a file with --settings, --contract, --version or --member")
			}
			_, err := fmt.Fprintln(c.Root().Writer, "ok")
			return err
		},
	}
}

// checkSettings checks a settings file of either kind: conf.Node for a process of a routed deployment, or
// conf.Settings for an entry host of a deployment without separate control hosts.
func checkSettings(path string) error {
	n, err := conf.IsNode(path)
	if err != nil {
		return err
	}
	if n {
		_, err = conf.LoadNode(path)
		return err
	}
	_, err = conf.Load(path)
	return err
}

// checker is a document with a method that checks its own fields.
type checker interface{ Check() error }

// checkDocument decodes the JSON document in a file as a T and checks it.
func checkDocument[T checker](path string) error {
	b, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	v, err := conf.Decode[T](b)
	if err == nil {
		err = v.Check()
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return nil
}
