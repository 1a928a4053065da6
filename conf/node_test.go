package conf_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/tiers"
)

// nodeDocument is a valid settings file of an entry host.
const nodeDocument = `{"part":"entry","name":"e-1","data-centre":"a","ip":"127.0.0.1","caller-address":"127.0.0.1:1","ready-address":"127.0.0.1:2",
"admin-address":"","peer-port":3,"metrics-port":4,"seeds":["127.0.0.9:5"],"found":true,"data-folder":"","memory-mb":280,"descriptors":4000,
"bounds":{"grace":"8s","drain":"2000ms","heartbeat":"1200ms","session-gap":"8.5s","retry-ratio":0.9,"retry-window":"10s","retry-slack":58,"exposure-share":0.15}}`

// loadNode loads the document as a settings file.
func loadNode(t *testing.T, document string) (conf.Node, error) {
	p := filepath.Join(t.TempDir(), "node.json")
	if err := os.WriteFile(p, []byte(document), 0o600); err != nil {
		t.Fatal(err)
	}
	return conf.LoadNode(p)
}

func TestLoadNode(t *testing.T) {
	i := is.New(t)
	n, err := loadNode(t, nodeDocument)
	i.NoErr(err)
	i.Equal(n.Bounds.SessionGap.Std(), 8500*time.Millisecond)
	i.Equal(n.SeedPeers(), []string{"127.0.0.9:3"})
}

// TestDecisionsKeepDefaults checks that a section that names some weights leaves the others as they are by default.
func TestDecisionsKeepDefaults(t *testing.T) {
	i := is.New(t)
	n, err := loadNode(t, strings.Replace(nodeDocument, `"peer-port":3`, `"peer-port":3,"decisions":{"late-share":0.5}`, 1))
	i.NoErr(err)
	w := tiers.DefaultWeights()
	w.LateShare = 0.5
	i.Equal(n.Decisions, conf.Decisions{Weights: w})
}

// Guards against a host that shares speeds though its settings don't ask for it, and against one that doesn't though they do.
func TestSpeedsAreSharedOnlyIfSettingsAsk(t *testing.T) {
	i := is.New(t)
	n, err := loadNode(t, nodeDocument)
	i.NoErr(err)
	i.True(!n.Decisions.SharedSpeeds)
	n, err = loadNode(t, strings.Replace(nodeDocument, `"peer-port":3`, `"peer-port":3,"decisions":{"shared-speeds":true}`, 1))
	i.NoErr(err)
	i.True(n.Decisions.SharedSpeeds)
}

// TestLoadNodeNamesFieldAndRemedy makes nodeDocument invalid by one replacement for each case.
func TestLoadNodeNamesFieldAndRemedy(t *testing.T) {
	for _, c := range []struct{ from, to, field string }{
		{`"part":"entry"`, `"part":"none"`, "part"},
		{`"name":"e-1"`, `"name":""`, "name"},
		{`"ip":"127.0.0.1"`, `"ip":"here"`, "ip"},
		{`"peer-port":3`, `"peer-port":0`, "peer-port"},
		{`["127.0.0.9:5"]`, `[]`, "seeds"},
		{`["127.0.0.9:5"]`, `["x"]`, "seeds[0]"},
		{`"grace":"8s"`, `"grace":"8"`, "duration"},
		{`"grace":"8s"`, `"grace":"8s","cold-slack":-1`, "bounds.cold-overage"},
		{`"caller-address":"127.0.0.1:1"`, `"caller-address":""`, "caller-address"},
		{`"part":"entry"`, `"part":"control"`, "data-folder"},
		{`"drain":"2000ms"`, `"centre-drain":"5s"`, "data-centres"},
		{`"drain":"2000ms"`, `"centre-drain":"-5s"`, "duration"},
		{`"peer-port":3`, `"peer-port":3,"decisions":{"late-share":1.1}`, "decisions.late-share"},
		{`"peer-port":3`, `"peer-port":3,"decisions":{"delay-rate":-1}`, "decisions.delay-rate"},
	} {
		t.Run(c.field, func(t *testing.T) {
			i := is.New(t)
			_, err := loadNode(t, strings.Replace(nodeDocument, c.from, c.to, 1))
			var f *conf.Fault
			i.True(errors.As(err, &f))
			i.Equal(f.Field, c.field)
			i.True(f.Remedy != "")
		})
	}
}
