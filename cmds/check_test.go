package cmds_test

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/cmds"
)

// The check command accepts valid node settings and names the faulty field of invalid ones.
func TestCheckNamesFaultInNodeSettings(t *testing.T) {
	b, err := os.ReadFile("testdata/entry.json")
	if err != nil {
		t.Fatal(err)
	}
	for n, c := range map[string]struct{ old, new, fault string }{
		"sound":            {"", "", ""},
		"no seeds":         {`["127.0.0.3:8082"]`, `[]`, "seeds"},
		"unknown field":    {`"memory-mb"`, `"memory"`, "memory"},
		"address missing":  {`"127.0.0.2:8080"`, `""`, "caller-address"},
		"seed not address": {`127.0.0.3:8082`, `somewhere`, "seeds[0]"},
	} {
		t.Run(n, func(t *testing.T) {
			i := is.New(t)
			f := filepath.Join(t.TempDir(), "settings.json")
			i.NoErr(os.WriteFile(f, []byte(strings.Replace(string(b), c.old, c.new, 1)), 0o600))
			var o bytes.Buffer
			err := cmds.Run(context.Background(), []string{"hickoryshelf", "check", "--settings", f}, &o)
			if c.fault == "" {
				i.NoErr(err)
				i.Equal(o.String(), "ok\n")
				return
			}
			i.True(err != nil)
			i.True(strings.Contains(err.Error(), c.fault))
		})
	}
}
