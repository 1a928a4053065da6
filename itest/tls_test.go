package itest_test

import (
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"connectrpc.com/connect"
	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/certs"
	"github.com/hickoryshelf/hickoryshelf/conf"
	"github.com/hickoryshelf/hickoryshelf/itest"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// authority is a certificate authority for tests. It writes its certificate and the issued
// certificates and keys as PEM files to folder.
type authority struct {
	folder string
	key    *ecdsa.PrivateKey
	cert   *x509.Certificate
}

// newAuthority returns an authority with a self-signed certificate, which it writes to authority.pem.
func newAuthority(t *testing.T) *authority {
	t.Helper()
	i := is.New(t)
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	i.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign,
	}
	b, err := x509.CreateCertificate(rand.Reader, c, c, &k.PublicKey, k)
	i.NoErr(err)
	a := &authority{folder: t.TempDir(), key: k, cert: c}
	a.write(t, "authority.pem", "CERTIFICATE", b)
	return a
}

// write writes b as a PEM block of the given type to the named file.
func (a *authority) write(t *testing.T, name, kind string, b []byte) {
	t.Helper()
	p := pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: b})
	if err := os.WriteFile(filepath.Join(a.folder, name), p, 0o600); err != nil {
		t.Fatal(err)
	}
}

// issue writes a key and a certificate for a name and returns their paths. Files of the same name are replaced.
func (a *authority) issue(t *testing.T, name string, serial int64) *conf.TLS {
	t.Helper()
	i := is.New(t)
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	i.NoErr(err)
	c := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, DNSNames: []string{name}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	b, err := x509.CreateCertificate(rand.Reader, c, a.cert, &k.PublicKey, a.key)
	i.NoErr(err)
	p, err := x509.MarshalECPrivateKey(k)
	i.NoErr(err)
	a.write(t, name+".key", "EC PRIVATE KEY", p)
	a.write(t, name+".pem", "CERTIFICATE", b)
	f := func(s string) string { return filepath.Join(a.folder, s) }
	return &conf.TLS{Certificate: f(name + ".pem"), Key: f(name + ".key"), Authority: f("authority.pem")}
}

// operatorClient returns a client of the administration API of h that authenticates with the certificate f and the given
// operator key.
func operatorClient(t *testing.T, h *itest.Host, f *conf.TLS, key string) admpb.AdminServiceClient {
	t.Helper()
	i := is.New(t)
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	i.NoErr(err)
	b, err := os.ReadFile(f.Authority)
	i.NoErr(err)
	p := x509.NewCertPool()
	p.AppendCertsFromPEM(b)
	x := &http.Client{Transport: &http.Transport{
		TLSClientConfig: &tls.Config{Certificates: []tls.Certificate{c}, RootCAs: p, ServerName: h.Name},
	}}
	o := connect.WithInterceptors(connect.UnaryInterceptorFunc(func(n connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+key)
			return n(ctx, r)
		}
	}))
	return admpb.NewAdminServiceClient(x, "https://"+h.Settings.AdminAddress, o)
}

// TestBrokenCertificateIsLogged tests that a host goes on with its previous certificate if the changed one can't be read,
// and that its log says so.
func TestBrokenCertificateIsLogged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		i := is.New(t)
		a := newAuthority(t)
		f := a.issue(t, "one", 2)
		var b bytes.Buffer
		l := logrus.New()
		l.SetOutput(&b)
		r, err := certs.Load(*f, l)
		i.NoErr(err)
		c := r.Config()
		a.write(t, "one.pem", "CERTIFICATE", []byte("half a file"))
		n := time.Date(2090, 1, 1, 0, 0, 0, 0, time.UTC)
		i.NoErr(os.Chtimes(f.Certificate, n, n))
		time.Sleep(3 * time.Second) // longer than the interval of checks
		i.Equal(r.Config(), c)
		i.True(strings.Contains(b.String(), "the previous ones stay in force"))
	})
}

// TestMutualTLS tests that hosts authenticate each other and their operators. Connections without a certificate, in plain
// text or with a wrong operator key must be refused. A host must use a replaced certificate without a restart.
func TestMutualTLS(t *testing.T) {
	t.Parallel()
	i := is.New(t)
	x := context.Background()
	a := newAuthority(t)
	c := itest.StartCluster(t, binary, itest.ThreeHosts(), func(s *conf.Settings) {
		s.TLS = a.issue(t, s.Name, 2)
		s.OperatorKeys = []string{model.HashKey("operator-key")}
	})
	f := a.issue(t, "operator", 3)
	h := c.Hosts[2]
	r := &admpb.ChangeRequest{ChangeId: "c", Operation: declareOp, Document: []byte(`{"name":"v@1","state":"live"}`)}
	itest.Eventually(t, 20*time.Second, func() error {
		_, err := operatorClient(t, h, f, "operator-key").Change(x, connect.NewRequest(r))
		return err
	})
	_, err := operatorClient(t, h, f, "wrong").Change(x, connect.NewRequest(r))
	i.Equal(connect.CodeOf(err), connect.CodeUnauthenticated)
	n, err := tls.Dial("tcp", h.Settings.PeerAddress, &tls.Config{InsecureSkipVerify: true}) // without a client certificate
	if err == nil {
		_ = n.SetReadDeadline(time.Now().Add(2 * time.Second))
		_, err = n.Read(make([]byte, 1))
		_ = n.Close()
	}
	i.True(err != nil)
	p, err := net.Dial("tcp", h.Settings.PeerAddress)
	i.NoErr(err)
	_, _ = p.Write([]byte("plain text"))
	_ = p.SetReadDeadline(time.Now().Add(2 * time.Second))
	b := make([]byte, 64)
	m, _ := p.Read(b)
	i.True(m == 0 || b[0] == 21) // the host closes the connection or sends a TLS alert

	a.issue(t, h.Name, 77) // replaces the certificate while the host runs
	itest.Eventually(t, 10*time.Second, func() error {
		_, err := operatorClient(t, h, f, "operator-key").Status(x, connect.NewRequest(&admpb.StatusRequest{}))
		if err == nil && presentedSerial(t, h, f) != 77 {
			err = os.ErrNotExist
		}
		return err
	})
	r.ChangeId, r.Document = "d", []byte(`{"name":"v@2","state":"live"}`)
	itest.Eventually(t, 20*time.Second, func() error {
		u, err := operatorClient(t, h, f, "operator-key").Change(x, connect.NewRequest(r))
		if err == nil && !u.Msg.GetAccepted() {
			err = os.ErrNotExist
		}
		return err
	})
}

// presentedSerial returns the serial number of the certificate that h presents, or 0 if the connection fails.
func presentedSerial(t *testing.T, h *itest.Host, f *conf.TLS) int64 {
	t.Helper()
	c, err := tls.LoadX509KeyPair(f.Certificate, f.Key)
	if err != nil {
		t.Fatal(err)
	}
	n, err := tls.Dial("tcp", h.Settings.AdminAddress, &tls.Config{Certificates: []tls.Certificate{c}, InsecureSkipVerify: true})
	if err != nil {
		return 0
	}
	defer func() { _ = n.Close() }()
	return n.ConnectionState().PeerCertificates[0].SerialNumber.Int64()
}
