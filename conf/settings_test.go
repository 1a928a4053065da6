package conf_test

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// validSettings is a valid settings file.
const validSettings = `{"name":"bern1","data-centre":"bern-halle","caller-address":"127.0.0.1:1","peer-address":"127.0.0.1:2",
"admin-address":"127.0.0.1:3","session-keys":["0123456789abcdef"],
"peers":[{"name":"bern1","data-centre":"bern-halle","address":"127.0.0.1:2","voter":false}]}`

// TestLoadNamesFieldAndRemedy makes validSettings invalid by one replacement for each case but the first, which is
// valid. The error has to wrap a *conf.Fault that has a remedy and names the field of the case, if the case has one.
func TestLoadNamesFieldAndRemedy(t *testing.T) {
	for _, v := range []struct{ old, new, field string }{
		{"", "", ""},
		{`"bern1","data-centre":"bern-halle","caller`, `"a/b","data-centre":"bern-halle","caller`, "name"},
		{`"data-centre":"bern-halle","caller`, `"data-centre":"","caller`, "data-centre"},
		{`127.0.0.1:1`, `host:1`, "caller-address"},
		{`127.0.0.1:3`, `10.0.0.1:3`, "operator-keys"},
		{`0123456789abcdef`, `short`, "session-keys"},
		{`{"name":"bern1"`, `{"name":"bern2"`, ""},
		{`"peers":[{"name":"bern1"`, `"peers":[{"name":"bern2"`, "peers"},
		{`"voter":false`, `"voter":true`, "data-folder"},
		{`"address":"127.0.0.1:2"`, `"address":""`, "peers[0]"},
	} {
		i := is.New(t)
		p := filepath.Join(t.TempDir(), "s.json")
		i.NoErr(os.WriteFile(p, []byte(strings.Replace(validSettings, v.old, v.new, 1)), 0o600))
		_, err := conf.Load(p)
		var f *conf.Fault
		if v.field == "" && v.old == "" {
			i.NoErr(err)
			continue
		}
		i.True(errors.As(err, &f)) // the error wraps a *conf.Fault
		if v.field != "" {
			i.Equal(f.Field, v.field)
		}
		i.True(f.Remedy != "")
	}
}

// TestDecode checks that Decode refuses unknown keys, data after the document, and incomplete or empty documents.
func TestDecode(t *testing.T) {
	i := is.New(t)
	for _, b := range []string{`{"customer":"a","colour":1}`, `{"customer":"a"} {}`, `{`, ``} {
		_, err := conf.Decode[model.Contract]([]byte(b))
		i.True(err != nil)
	}
}

// FuzzDecode checks that no document makes Decode or the checks panic.
func FuzzDecode(f *testing.F) {
	f.Add([]byte(validSettings))
	f.Add([]byte(`{"customer":"a","key-hashes":["00"],"classes":[{"class":"x","quality":2}],"share":1,"max-output-tokens":1}`))
	f.Fuzz(func(_ *testing.T, b []byte) {
		if s, err := conf.Decode[conf.Settings](b); err == nil {
			_ = s.Check()
		}
		if c, err := conf.Decode[model.Contract](b); err == nil {
			_ = c.Check()
		}
	})
}
