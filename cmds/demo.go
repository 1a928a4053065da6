package cmds

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/fakes"
	"github.com/hickoryshelf/hickoryshelf/gate"
	"github.com/hickoryshelf/hickoryshelf/host"
	"github.com/hickoryshelf/hickoryshelf/model"
)

const (
	demoKey      = "demo-key"
	demoCustomer = "rollhilfe"
	demoWait     = 15 * time.Second
	demoPoll     = 50 * time.Millisecond
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "runs the whole path in one process and prints an answer, its route and its bill",
		Flags: []cli.Flag{&cli.BoolFlag{Name: "stay", Usage: "stays up until it is interrupted"}},
		Action: func(ctx context.Context, c *cli.Command) error {
			d := &demo{out: c.Root().Writer}
			defer d.close()
			if err := d.start(); err != nil {
				return err
			}
			if err := d.show(ctx); err != nil {
				return err
			}
			if c.Bool("stay") {
				d.printAddresses()
				untilSignal(ctx)
			}
			return nil
		},
	}
}

// demo is a small system in one process: three entry hosts in two data centres, engines and a rater.
type demo struct {
	out     io.Writer
	folder  string
	daemons []*daemon
	engines []*fakes.Engine
	rater   *fakes.Rater
	routes  routeLines
}

// routeLines keeps the log lines about routing decisions.
type routeLines struct {
	lock  sync.Mutex
	lines []string
}

// Write takes one log line.
func (r *routeLines) Write(b []byte) (int, error) {
	r.lock.Lock()
	defer r.lock.Unlock()
	if bytes.Contains(b, []byte("route: routes")) {
		r.lines = append(r.lines, string(b))
	}
	return len(b), nil
}

func (r *routeLines) print(out io.Writer) {
	r.lock.Lock()
	defer r.lock.Unlock()
	for _, l := range r.lines {
		_, _ = fmt.Fprint(out, "decision: ", l)
	}
}

func (d *demo) close() {
	for _, e := range d.engines {
		e.Close()
	}
	if d.rater != nil {
		d.rater.Close()
	}
	for _, h := range d.daemons {
		h.gate.Close()
		h.host.Stop()
		_ = h.callers.Close()
		_ = h.admin.Close()
	}
	if d.folder != "" {
		_ = os.RemoveAll(d.folder)
	}
}

// start brings everything up on free ports of the loopback address.
func (d *demo) start() error {
	var err error
	if d.folder, err = os.MkdirTemp("", "hickoryshelf-demo"); err != nil {
		return err
	}
	a, err := freeAddresses(9)
	if err != nil {
		return err
	}
	m := []model.Member{
		{Name: "bern1", DataCentre: "bern-halle", Address: a[0], Voter: true},
		{Name: "bern2", DataCentre: "bern-halle", Address: a[1]},
		{Name: "olten1", DataCentre: "olten-halle", Address: a[2]},
	}
	for i, x := range m {
		s := conf.Settings{
			Name: x.Name, DataCentre: x.DataCentre, PeerAddress: x.Address, CallerAddress: a[3+i], AdminAddress: a[6+i],
			Peers: m, SessionKeys: []string{"demo-session-key"},
		}
		if x.Voter {
			s.DataFolder = d.folder
			if err := host.Bootstrap(s); err != nil {
				return err
			}
		}
		l := logrus.New()
		l.SetOutput(&d.routes)
		h, err := startDaemon(s, l)
		if err != nil {
			return err
		}
		d.daemons = append(d.daemons, h)
	}
	return d.startFakes()
}

// freeAddresses finds ports that are free now.
func freeAddresses(count int) ([]string, error) {
	var r []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		r = append(r, l.Addr().String())
	}
	return r, nil
}

func (d *demo) hosts() []string {
	var r []string
	for _, h := range d.daemons {
		r = append(r, h.settings.CallerAddress)
	}
	return r
}

func (d *demo) startFakes() error {
	for i, o := range []fakes.EngineOptions{
		{ID: "engine-bern", DataCentre: "bern-halle", Versions: []string{"fitting-small@1"}},
		{ID: "engine-olten", DataCentre: "olten-halle", Versions: []string{"fitting-large@1"}},
	} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		o.Listener, o.Hosts, o.Capacity, o.Seed = l, d.hosts(), 8, uint64(i)
		o.FirstToken, o.Interval = 20*time.Millisecond, 5*time.Millisecond
		d.engines = append(d.engines, fakes.NewEngine(o))
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	d.rater = fakes.NewRater(fakes.RaterOptions{ID: "rater", DataCentre: "bern-halle", Listener: l, Hosts: d.hosts(), PerSecond: 20})
	return nil
}

func (d *demo) admin() admpb.AdminServiceClient {
	return admpb.NewAdminServiceClient(&http.Client{Timeout: adminTimeout}, "http://"+d.daemons[1].settings.AdminAddress)
}

// configure declares two versions and puts a contract in force.
func (d *demo) configure(ctx context.Context) error {
	for i, v := range []model.Version{
		{Name: "fitting-large@1", Cost: model.Price{InputMicros: 400, OutputMicros: 1600}, Trusted: true},
		{Name: "fitting-small@1", Cost: model.Price{InputMicros: 40, OutputMicros: 160}, Trusted: true},
	} {
		if err := d.change(ctx, fmt.Sprintf("version-%d", i), admpb.Operation_OPERATION_DECLARE_VERSION, v); err != nil {
			return err
		}
	}
	return d.change(ctx, "contract", admpb.Operation_OPERATION_APPLY_CONTRACT, model.Contract{
		Customer: demoCustomer, KeyHashes: []string{model.HashKey(demoKey)}, Versions: []string{"fitting-small@1", "fitting-large@1"},
		Classes: []model.ClassTerms{{Class: "fitting", Quality: 0.7, Priority: model.PriorityInteractive}},
		Share:   1, MaxOutputTokens: 400, Price: model.Price{InputMicros: 600, OutputMicros: 2400},
	})
}

func (d *demo) change(ctx context.Context, id string, op admpb.Operation, document any) error {
	b, err := json.Marshal(document)
	if err != nil {
		return err
	}
	u, err := d.admin().Change(ctx, connect.NewRequest(&admpb.ChangeRequest{ChangeId: id, Operation: op, Document: b}))
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(d.out, "change %s: revision %d, accepted %t\n", id, u.Msg.GetRevision(), u.Msg.GetAccepted())
	return err
}

// show configures the system, asks one question and prints what became of it.
func (d *demo) show(ctx context.Context) error {
	c, f := context.WithTimeout(ctx, demoWait)
	defer f()
	if err := d.until(c, d.configure); err != nil {
		return err
	}
	if err := d.until(c, d.ask); err != nil {
		return err
	}
	d.routes.print(d.out)
	return d.bill(c)
}

// until tries again while the system comes up.
func (d *demo) until(ctx context.Context, try func(context.Context) error) error {
	for {
		err := try(ctx)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("the demo did not come up: %w", err)
		case <-time.After(demoPoll):
		}
	}
}

func (d *demo) ask(ctx context.Context) error {
	b := `{"model":"auto","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"Which wheelchair fits a seat width of 43 cm?"}]}`
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.hosts()[2]+"/v1/chat/completions", strings.NewReader(b))
	if err != nil {
		return err
	}
	q.Header.Set("Authorization", "Bearer "+demoKey)
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		t, _ := io.ReadAll(r.Body)
		return fmt.Errorf("%s: %s", r.Status, t)
	}
	_, _ = fmt.Fprintf(d.out, "request %s, version %s\nanswer: ", r.Header.Get(gate.HeaderRequestID), r.Header.Get(gate.HeaderVersion))
	for s := bufio.NewScanner(r.Body); s.Scan(); {
		d.printPart(s.Text())
	}
	_, err = fmt.Fprintf(d.out, "\noutcome: %s\n", r.Trailer.Get(gate.HeaderOutcome))
	return err
}

// demoPart is the text of one part of a stream.
type demoPart struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
}

func (d *demo) printPart(line string) {
	t, ok := strings.CutPrefix(line, "data: ")
	var p demoPart
	if !ok || json.Unmarshal([]byte(t), &p) != nil || len(p.Choices) == 0 {
		return
	}
	_, _ = fmt.Fprint(d.out, p.Choices[0].Delta.Content)
}

func (d *demo) bill(ctx context.Context) error {
	u, err := d.admin().Bills(ctx, connect.NewRequest(&admpb.BillsRequest{Customer: demoCustomer}))
	if err != nil {
		return err
	}
	for _, l := range u.Msg.GetLines() {
		_, _ = fmt.Fprintf(d.out, "bill: request %s, version %s at %s, %d tokens in, %d out, %d micros, %s\n", l.GetRequestId(),
			l.GetVersion(), l.GetEndpoint(), l.GetInputTokens(), l.GetOutputTokens(), l.GetMicros(), l.GetOutcome())
	}
	return nil
}

func (d *demo) printAddresses() {
	for _, h := range d.daemons {
		_, _ = fmt.Fprintf(d.out, "host %s: callers %s, operators %s, bearer key %s\n", h.settings.Name,
			h.settings.CallerAddress, h.settings.AdminAddress, demoKey)
	}
}
