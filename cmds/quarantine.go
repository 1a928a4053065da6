package cmds

import (
	"context"
	"fmt"
	"net/rpc"

	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
	"github.com/hickoryshelf/hickoryshelf/poison"
)

// quarantineCommand returns the command that shows and lifts the rules by which requests are held back.
func quarantineCommand() *cli.Command {
	f := []cli.Flag{&cli.StringFlag{Name: "control", Required: true, Usage: "peer address of any control host, as IP:PORT"}}
	return &cli.Command{
		Name: "quarantine", Usage: "shows and lifts the rules that hold back requests which end endpoints",
		Commands: []*cli.Command{
			{Name: "list", Usage: "prints the rules in force as JSON", Flags: f, Action: listQuarantine},
			{
				Name: "lift", Usage: "lets requests through again that a rule holds back", Action: liftQuarantine,
				Flags: append(f, &cli.StringFlag{Name: "key", Required: true, Usage: "key of the rule, as KIND:ID"}),
			},
		},
	}
}

// listedRule is a rule as it is printed in JSON.
type listedRule struct {
	Key     string   `json:"key"`
	With    []string `json:"with"`
	Account string   `json:"account"`
	// AnyAccount is set if the rule holds for the requests of all client accounts.
	AnyAccount bool `json:"any-account"`
	Crashes    int  `json:"crashes"`
}

func listQuarantine(_ context.Context, c *cli.Command) error {
	var l ctlrpc.QuarantineList
	if err := callControl(c.String("control"), "Quarantine", ctlrpc.Ack{}, &l); err != nil {
		return err
	}
	r := make([]listedRule, 0, len(l.Rules))
	for _, v := range l.Rules {
		w := make([]string, 0, len(v.With))
		for _, k := range v.With {
			w = append(w, k.String())
		}
		r = append(r, listedRule{v.Key.String(), w, v.Account, v.AnyAccount, v.Crashes})
	}
	return printJSON(c, r)
}

func liftQuarantine(_ context.Context, c *cli.Command) error {
	k, err := poison.ParseKey(c.String("key"))
	if err != nil {
		return err
	}
	var a ctlrpc.Ack
	if err := callControl(c.String("control"), "Lift", k, &a); err != nil {
		return err
	}
	if !a.OK {
		return fmt.Errorf("no rule with the key %s is in force; quarantine list shows them", k)
	}
	_, err = fmt.Fprintf(c.Root().Writer, "lifted %s\n", k)
	return err
}

// callControl calls a method of the Control RPC service of a control host.
func callControl(address, method string, args, reply any) error {
	n, err := dial.Connect(address)
	if err != nil {
		return fmt.Errorf("connect to control host %s: %w; check that it is running", address, err)
	}
	r := rpc.NewClient(n)
	defer r.Close() //nolint:errcheck // the call has ended
	return r.Call(ctlrpc.ServiceName+"."+method, args, reply)
}
