// Package certs builds configurations for mutual TLS from certificate files and reloads the files when they change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/conf"
)

// checkInterval is the minimum time between two checks of the files' modification times.
const checkInterval = 2 * time.Second

// Reloader holds the TLS configuration from a certificate, its key and the certificate of the authority, and reloads
// it when one of the files changes. It is safe for concurrent use.
type Reloader struct {
	files      conf.TLS
	log        *logrus.Logger
	lock       sync.Mutex
	checkedAt  time.Time
	modifiedAt time.Time
	current    *tls.Config
}

// Load reads the files and returns a Reloader for them. It returns an error if a file can't be read or isn't valid. Later
// failures to read changed files are written to the log.
func Load(files conf.TLS, l *logrus.Logger) (*Reloader, error) {
	r := &Reloader{files: files, log: l}
	c, err := r.read()
	if err != nil {
		return nil, err
	}
	r.current, r.checkedAt, r.modifiedAt = c, time.Now(), r.latestModification()
	return r, nil
}

// read builds a configuration that requires a client certificate of the authority and at least TLS 1.3.
func (r *Reloader) read() (*tls.Config, error) {
	c, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: load the certificate and its key: %w; name both files in PEM form", err)
	}
	b, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return nil, fmt.Errorf("tls: read the authority's certificate: %w; name a file that can be read", err)
	}
	a := x509.NewCertPool()
	if !a.AppendCertsFromPEM(b) {
		return nil, errors.New("tls: the authority's file holds no certificate; name a file in PEM form")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{c}, RootCAs: a, ClientCAs: a,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// latestModification returns the latest modification time of the three files. It skips files whose time can't be read.
func (r *Reloader) latestModification() time.Time {
	var t time.Time
	for _, f := range []string{r.files.Certificate, r.files.Key, r.files.Authority} {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(t) {
			t = i.ModTime()
		}
	}
	return t
}

// Config returns the configuration from the current files. It checks for modified files at most once per
// checkInterval. If the modified files can't be loaded, for example because their replacement isn't complete, it
// returns the previous configuration and tries again at the next check.
func (r *Reloader) Config() *tls.Config {
	r.lock.Lock()
	defer r.lock.Unlock()
	if time.Since(r.checkedAt) < checkInterval {
		return r.current
	}
	r.checkedAt = time.Now()
	t := r.latestModification()
	if !t.After(r.modifiedAt) {
		return r.current
	}
	c, err := r.read()
	if err != nil {
		r.log.WithError(err).Warn("tls: the changed certificate files aren't used, the previous ones stay in force")
		return r.current
	}
	r.current, r.modifiedAt = c, t
	return r.current
}

// ServerConfig returns a configuration for a server that calls Config for each new connection.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.Config(), nil },
	}
}
