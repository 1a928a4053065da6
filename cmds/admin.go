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

// adminTimeout limits the duration of one call of the administration API.
const adminTimeout = 10 * time.Second

// adminFlags returns the flags that all commands with calls of the administration API share, followed by more.
func adminFlags(more ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "admin", Value: "127.0.0.1:7002", Usage: "administration address of a host"},
		&cli.StringFlag{Name: "operator-key", Sources: cli.EnvVars("HICKORYSHELF_OPERATOR_KEY"), Usage: "operator key, sent as a bearer token"},
		&cli.StringFlag{Name: "tls-certificate", Usage: "file with the operator's certificate, if the hosts use TLS"},
		&cli.StringFlag{Name: "tls-key", Usage: "file with the key of the operator's certificate"},
		&cli.StringFlag{Name: "tls-authority", Usage: "file with the certificate of the authority"},
		&cli.StringFlag{Name: "output", Value: "text", Usage: "output format: text or json"},
	}, more...)
}

// changeFlags returns the flags that all commands with a change of the configuration share, followed by more.
func changeFlags(more ...cli.Flag) []cli.Flag {
	return adminFlags(append([]cli.Flag{
		&cli.StringFlag{Name: "change-id", Usage: "id of the change; use the same id to send a change again (default: a random id)"},
		&cli.Uint64Flag{Name: "expect", Usage: "refuse the change unless this is the current revision; 0 accepts any revision"},
	}, more...)...)
}

// keyTransport is an http.RoundTripper that sends the operator key as a bearer token with each call.
type keyTransport struct {
	key  string
	next http.RoundTripper
}

// RoundTrip sets the Authorization header, unless the key is empty, and passes the request on.
func (k keyTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	if k.key != "" {
		r.Header.Set("Authorization", "Bearer "+k.key)
	}
	return k.next.RoundTrip(r)
}

// adminClient returns a client for the administration API at the address in the command's flags. It uses TLS when a
// certificate is given.
func adminClient(c *cli.Command) (admpb.AdminServiceClient, error) {
	t := &http.Transport{}
	s := "http://"
	if p := c.String("tls-certificate"); p != "" {
		f, err := certs.Load(conf.TLS{Certificate: p, Key: c.String("tls-key"), Authority: c.String("tls-authority")}, newLogger("warning"))
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

// sendChange sends one change and prints its result. Without the flag change-id it chooses a random id.
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

// changeOutput is the result of a change as it is printed in JSON.
type changeOutput struct {
	ChangeID string   `json:"change-id"`
	Revision uint64   `json:"revision"`
	Accepted bool     `json:"accepted"`
	Pending  []string `json:"pending"`
}

// printChange prints the result of a change as text or JSON.
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

// documentCommand returns a command that sends the JSON document of a file as a change.
func documentCommand(name, usage string, op admpb.Operation) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: changeFlags(&cli.StringFlag{Name: "file", Required: true, Usage: "file with the JSON document"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			b, err := os.ReadFile(c.String("file"))
			if err != nil {
				return err
			}
			return sendChange(ctx, c, &admpb.ChangeRequest{Operation: op, Document: b})
		},
	}
}

// nameCommand returns a command that sends a change to the object with the given name.
func nameCommand(name, usage string, op admpb.Operation) *cli.Command {
	return &cli.Command{
		Name: name, Usage: usage,
		Flags: changeFlags(&cli.StringFlag{Name: "name", Required: true, Usage: "name of the object"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			return sendChange(ctx, c, &admpb.ChangeRequest{Operation: op, Name: c.String("name")})
		},
	}
}

// listCommand returns a command that prints a part of the configuration in force as JSON.
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

// printJSON prints v as indented JSON.
func printJSON(c *cli.Command, v any) error {
	e := json.NewEncoder(c.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func contractCommand() *cli.Command {
	return &cli.Command{Name: "contract", Usage: "manages customers' contracts", Commands: []*cli.Command{
		documentCommand("apply", "adds or replaces a customer's contract", admpb.Operation_OPERATION_APPLY_CONTRACT),
		nameCommand("remove", "removes a customer's contract", admpb.Operation_OPERATION_REMOVE_CONTRACT),
		listCommand("list", "prints all contracts", func(c model.Config) any { return c.Contracts }),
		listCommand("show", "prints the whole configuration with its revision", func(c model.Config) any { return c }),
	}}
}

func versionCommand() *cli.Command {
	return &cli.Command{Name: "version", Usage: "manages model versions", Commands: []*cli.Command{
		documentCommand("declare", "declares a version as live", admpb.Operation_OPERATION_DECLARE_VERSION),
		nameCommand("withdraw", "withdraws a version permanently", admpb.Operation_OPERATION_WITHDRAW_VERSION),
		listCommand("list", "prints all versions", func(c model.Config) any { return c.Versions }),
	}}
}

func memberCommand() *cli.Command {
	return &cli.Command{Name: "member", Usage: "manages the hosts of the system", Commands: []*cli.Command{
		documentCommand("add", "adds a host or changes its member entry", admpb.Operation_OPERATION_ADD_MEMBER),
		nameCommand("remove", "removes a host", admpb.Operation_OPERATION_REMOVE_MEMBER),
		listCommand("list", "prints all hosts", func(c model.Config) any { return c.Members }),
	}}
}
