package cmds

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/certs"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// adminTimeout bounds one call of the administration API.
const adminTimeout = 10 * time.Second

// adminFlags are the flags of each command that calls the administration API.
func adminFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "admin", Value: "127.0.0.1:7002", Usage: "admin address of an entry host"},
		&cli.StringFlag{Name: "operator-key", Sources: cli.EnvVars("HICKORYSHELF_OPERATOR_KEY"), Usage: "operator key"},
		&cli.StringFlag{Name: "tls-certificate", Usage: "operator's certificate, where hosts use TLS"},
		&cli.StringFlag{Name: "tls-key", Usage: "key of the operator's certificate"},
		&cli.StringFlag{Name: "tls-authority", Usage: "certificate of the authority"},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "text or json"},
	}, more...)
}

// changeFlags are the flags of each command that changes the configuration.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return adminFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "change-id", Usage: "id of the change, the same on each resend; drawn where none is given"},
		&cli.Uint64Flag{Name: "expect", Usage: "revision that the change is based on; 0 means any"},
	}, more...)...)
}

// keyTransport adds the operator key to each call.
type keyTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip adds the key.
func (k keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.key != "" {
		r.Header.Set("Authorization", "Bearer "+k.key)
	}
	return k.next.RoundTrip(r)
}

func adminClient(c *cli.Command) (admpb.AdminServiceClient, error) {
	t := &http.Transport{}
	s := "http://"
	if p := c.String("tls-certificate"); p != "" {
		f, err := certs.Load(conf.TLS{Certificate: p, Key: c.String("tls-key"), Authority: c.String("tls-authority")})
		if err != nil {
			return nil, err
		}
		t.TLSClientConfig = f.Config()
		t.TLSClientConfig.NextProtos = []string{"http/1.1"}
		t.TLSNextProto = map[string]func(string, *tls.Conn) http.RoundTripper{}
		s = "https://"
	}
	h := &http.Client{Timeout: adminTimeout, Transport: keyTransport{c.String("operator-key"), t}}
	return admpb.NewAdminServiceClient(h, s+c.String("admin")), nil
}

// sendChange sends one change and prints what became of it.
func sendChange(ctx context.Context, c *cli.Command, r *admpb.ChangeRequest) error {
	a, err := adminClient(c)
	if err != nil {
		return err
	}
	r.ChangeId = c.String("change-id")
	if r.GetChangeId() == "" {
		r.ChangeId = rand.Text()
	}
	r.ExpectRevision = c.Uint64("expect")
	u, err := a.Change(ctx, connect.NewRequest(r))
	if err != nil {
		return fmt.Errorf("change %s: %w", r.GetChangeId(), err)
	}
	return printChange(c, r.GetChangeId(), u.Msg)
}

// changeOutput is the JSON form of a change's answer.
type changeOutput struct {
	ChangeID string   `json:"change-id"`
	Revision uint64   `json:"revision"`
	Accepted bool     `json:"accepted"`
	Pending  []string `json:"pending"`
}

func printChange(c *cli.Command, id string, m *admpb.ChangeResponse) error {
	w := c.Root().Writer
	if c.String("output") == "json" {
		return json.NewEncoder(w).Encode(changeOutput{id, m.GetRevision(), m.GetAccepted(), m.GetPending()})
	}
	t := "accepted"
	if !m.GetAccepted() {
		t = "committed, not yet in force in: " + strings.Join(m.GetPending(), ", ")
	}
	_, err := fmt.Fprintf(w, "change %s: revision %d %s\n", id, m.GetRevision(), t)
	return err
}

// documentCommand is a verb that sends a document from a file.
func documentCommand(name, usage string, op admpb.Operation) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: changeFlags(&cli.StringFlag{Name: "file", Required: true, Usage: "JSON document"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			b, err := os.ReadFile(c.String("file"))
			if err != nil {
				return err
			}
			return sendChange(ctx, c, &admpb.ChangeRequest{Operation: op, Document: b})
		},
	}
}

// nameCommand is a verb that names what it removes or withdraws.
func nameCommand(name, usage string, op admpb.Operation) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: changeFlags(&cli.StringFlag{Name: "name", Required: true, Usage: "name of the object"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return sendChange(ctx, c, &admpb.ChangeRequest{Operation: op, Name: c.String("name")})
		},
	}
}

// listCommand is a verb that prints a part of the configuration.
func listCommand(name, usage string, part func(model.Config) any) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage, Flags: adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			a, err := adminClient(c)
			if err != nil {
				return err
			}
			u, err := a.Show(ctx, connect.NewRequest(&admpb.ShowRequest{}))
			if err != nil {
				return err
			}
			v, err := conf.Decode[model.Config](u.Msg.GetDocument())
			if err != nil {
				return err
			}
			return printJSON(c, part(v))
		},
	}
}

func printJSON(c *cli.Command, v any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func contractCommand() *cli.Command {
	return &cli.Command{Name: "contract", Usage: "works with contracts", Commands: []*cli.Command{
		documentCommand("apply", "puts a contract in force", admpb.Operation_OPERATION_APPLY_CONTRACT),
		nameCommand("remove", "ends a customer's contract", admpb.Operation_OPERATION_REMOVE_CONTRACT),
		listCommand("list", "prints all contracts", func(c model.Config) any { return c.Contracts }),
		listCommand("show", "prints the whole configuration with its revision", func(c model.Config) any { return c }),
	}}
}

func versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "works with versions", Commands: []*cli.Command{
		documentCommand("declare", "declares a version live", admpb.Operation_OPERATION_DECLARE_VERSION),
		nameCommand("withdraw", "withdraws a version for good", admpb.Operation_OPERATION_WITHDRAW_VERSION),
		listCommand("list", "prints all versions", func(c model.Config) any { return c.Versions }),
	}}
}

func memberCommand() *cli.Command {
	return &cli.Command{Name: "member", Usage: "works with the hosts of the system", Commands: []*cli.Command{
		documentCommand("add", "adds a host, or changes its entry", admpb.Operation_OPERATION_ADD_MEMBER),
		nameCommand("remove", "removes a host", admpb.Operation_OPERATION_REMOVE_MEMBER),
		listCommand("list", "prints all hosts", func(c model.Config) any { return c.Members }),
	}}
}
