package cmds

import (
	"context"
	"errors"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"

	"connectrpc.com/connect"
	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/trace"
)

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "prints the status of all hosts", Flags: adminFlags(),
		Action: func(ctx context.Context, c *cli.Command) error {
			a, err := adminClient(c)
			if err != nil {
				return err
			}
			u, err := a.Status(ctx, connect.NewRequest(&admpb.StatusRequest{}))
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return printJSON(c, u.Msg.GetHosts())
			}
			return printStatus(c, u.Msg.GetHosts())
		},
	}
}

// printStatus prints one table row for each host. A host is a voter if its node id is among the voters it reported.
func printStatus(c *cli.Command, hosts []*admpb.HostStatus) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "HOST\tDATA CENTRE\tSTANDING\tREVISION\tLEADS\tVOTER\tRUNNING\tWAITING\tENDPOINTS\tPENDING")
	for _, h := range hosts {
		s := h.GetStanding()
		if !h.GetReachable() {
			s = "unreachable"
		}
		v := false
		for _, n := range h.GetVoters() {
			v = v || (n == h.GetNode() && n != "")
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%t\t%t\t%d\t%d\t%d\t%s\n", h.GetName(), h.GetDataCentre(), s, h.GetRevision(),
			h.GetLeading(), v, h.GetRunning(), h.GetWaiting(), h.GetEndpoints(), strings.Join(h.GetPending(), " "))
	}
	return w.Flush()
}

func billsCommand() *cli.Command {
	return &cli.Command{
		Name: "bills", Usage: "prints the billing lines of requests that ran or may have run",
		Flags: adminFlags(&cli.StringFlag{Name: "customer", Usage: "customer whose lines are printed; all customers if empty"}),
		Action: func(ctx context.Context, c *cli.Command) error {
			a, err := adminClient(c)
			if err != nil {
				return err
			}
			u, err := a.Bills(ctx, connect.NewRequest(&admpb.BillsRequest{Customer: c.String("customer")}))
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return printJSON(c, u.Msg)
			}
			return printBills(c, u.Msg)
		},
	}
}

// printBills prints the billing lines as a table, and the hosts whose lines are missing.
func printBills(c *cli.Command, m *admpb.BillsResponse) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "REQUEST\tCUSTOMER\tVERSION\tENDPOINT\tOUTCOME\tINPUT\tOUTPUT\tMICROS")
	for _, l := range m.GetLines() {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", l.GetRequestId(), l.GetCustomer(), l.GetVersion(),
			l.GetEndpoint(), l.GetOutcome(), l.GetInputTokens(), l.GetOutputTokens(), l.GetMicros())
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if len(m.GetMissingHosts()) > 0 {
		_, err := fmt.Fprintln(c.Root().Writer, "incomplete, no answer from:", strings.Join(m.GetMissingHosts(), ", "))
		return err
	}
	return nil
}

func explainCommand() *cli.Command {
	return &cli.Command{
		Name: "explain", Usage: "explains the outcome of a request from its id and the hosts' log files, or which version a new request would get",
		ArgsUsage: "[ID FILE...]",
		Flags: adminFlags(
			&cli.StringFlag{Name: "customer", Usage: "customer of the contract, if no request id is given"},
			&cli.StringFlag{Name: "class", Usage: "task class; the first class of the contract if empty"},
			&cli.BoolFlag{Name: "summary", Usage: "sums up all requests in the log files by route, model, data centre and time"},
		),
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Bool("summary") {
				return explainAll(c)
			}
			if c.Args().Present() {
				return explainRequest(c)
			}
			if c.String("customer") == "" {
				return fmt.Errorf("nothing to explain; give a request id and log files, or --customer")
			}
			a, err := adminClient(c)
			if err != nil {
				return err
			}
			u, err := a.Explain(ctx, connect.NewRequest(&admpb.ExplainRequest{Customer: c.String("customer"), Class: c.String("class")}))
			if err != nil {
				return err
			}
			if c.String("output") == "json" {
				return printJSON(c, u.Msg)
			}
			return printRouting(c, u.Msg)
		},
	}
}

// explainAll prints a summary of all requests in the log files that the arguments name.
func explainAll(c *cli.Command) error {
	l, err := readLogs(c.Args().Slice())
	if err != nil {
		return err
	}
	s := trace.Summarize(l)
	if c.String("output") == "json" {
		return printJSON(c, s)
	}
	return s.Write(c.Root().Writer)
}

// explainRequest prints the report of a request. The first argument is the id of the request, the others are log files.
func explainRequest(c *cli.Command) error {
	l, err := readLogs(c.Args().Tail())
	if err != nil {
		return err
	}
	s := trace.Explain(c.Args().First(), l)
	if c.String("output") == "json" {
		return printJSON(c, s)
	}
	return s.Write(c.Root().Writer)
}

// readLogs returns the lines of log files.
func readLogs(paths []string) ([]trace.Line, error) {
	var l []trace.Line
	for _, p := range paths {
		f, err := os.Open(p)
		if err != nil {
			return nil, fmt.Errorf("open log: %w; name a log file that can be read", err)
		}
		v, err := trace.Read(f)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, err
		}
		l = append(l, v...)
	}
	return l, nil
}

// printRouting prints the order of versions that a new request would get, the reason and the candidates.
func printRouting(c *cli.Command, m *admpb.ExplainResponse) error {
	w := tabwriter.NewWriter(c.Root().Writer, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "order: %s\nreason: %s\n", strings.Join(m.GetVersions(), ", "), m.GetReason())
	_, _ = fmt.Fprintln(w, "VERSION\tCOST\tRATINGS\tLOWER\tUPPER\tHEALTH\tREFUSED")
	for _, o := range m.GetCandidates() {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%.0f\t%.3f\t%.3f\t%s\t%s\n", o.GetVersion(), o.GetCostMicros(), o.GetRatings(),
			o.GetLower(), o.GetUpper(), o.GetHealth(), o.GetRefused())
	}
	return w.Flush()
}
