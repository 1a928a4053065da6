package conf_test

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/hickoryshelf/hickoryshelf/conf"
)

// withClients returns nodeDocument with a section clients.
func withClients(section string) string {
	return strings.Replace(nodeDocument, `"peer-port":3`, `"peer-port":3,"clients":`+section, 1)
}

// Guards against a limit that a single client inside the limits of the configuration meets, and against a limit that is ignored.
func TestLimitsOfClients(t *testing.T) {
	i := is.New(t)
	n, err := loadNode(t, strings.Replace(nodeDocument, `"memory-mb":280`, `"memory-mb":144`, 1))
	i.NoErr(err)
	l := n.IntakeLimits()
	i.Equal(l.Bytes, int64(36<<20))
	i.True(l.AddressBytes >= 4*4<<20) // a body of 4 MiB beside three others from one address
	c := n.ClientLimits()
	i.Equal(c.Connections, 864)
	i.Equal(c.BodyTimeout.Std(), time.Minute)
	i.Equal(c.DocumentBytes, int64(144<<20/20))
	n, err = loadNode(t, withClients(`{"memory-mb":8,"account-share":0.25,"connections":7,"body-timeout":"5s"}`))
	i.NoErr(err)
	l, c = n.IntakeLimits(), n.ClientLimits()
	i.Equal(l.Bytes, int64(8<<20))
	i.Equal(l.OwnerBytes, int64(2<<20))
	i.Equal(c.Connections, 7)
	i.Equal(c.BodyTimeout.Std(), 5*time.Second)
}

func TestInvalidLimitsOfClientsAreNamed(t *testing.T) {
	for section, field := range map[string]string{
		`{"memory-mb":-1}`: "clients.memory-mb", `{"address-share":1.5}`: "clients.address-share", `{"account-share":-0.1}`: "clients.account-share",
		`{"connections":-1}`: "clients.connections", `{"discard-bytes":-1}`: "clients.discard-bytes", `{"document-bytes":-1}`: "clients.document-bytes",
		`{"body-timeout":"-1s"}`: "duration", `{"answer-timeout":"-1s"}`: "duration", `{"discard-time":"-1s"}`: "duration",
		`{"memory-mb":281}`: "clients.memory-mb",
	} {
		i := is.New(t)
		_, err := loadNode(t, withClients(section))
		var f *conf.Fault
		i.True(errors.As(err, &f))
		i.Equal(f.Field, field)
		i.True(f.Remedy != "")
	}
}
