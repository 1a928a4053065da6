// Package certs makes TLS configurations from files and reads the files again when they change.
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/conf"
)

// checkInterval is how often at most the files are looked at.
const checkInterval = 2 * time.Second

// Reloader is a certificate with its authority, for mutual TLS.
type Reloader struct {
	files      conf.TLS
	lock       sync.Mutex
	checkedAt  time.Time
	modifiedAt time.Time
	current    *tls.Config
}

// Load reads the files.
func Load(files conf.TLS) (*Reloader, error) {
	r := &Reloader{files: files}
	c, err := r.read()
	if err != nil {
		return nil, err
	}
	r.current, r.checkedAt, r.modifiedAt = c, time.Now(), r.latestModification()
	return r, nil
}

func (r *Reloader) read() (*tls.Config, error) {
	c, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %w; name a certificate and its key", err)
	}
	b, err := os.ReadFile(r.files.Authority)
	if err != nil {
		return nil, fmt.Errorf("tls: %w; name the authority's certificate", err)
	}
	a := x509.NewCertPool()
	if !a.AppendCertsFromPEM(b) {
		return nil, errors.New("tls: the authority's file holds no certificate; give it in PEM form")
	}
	return &tls.Config{
		Certificates: []tls.Certificate{c}, RootCAs: a, ClientCAs: a,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}, nil
}

// latestModification returns the time of the latest change of a file.
func (r *Reloader) latestModification() time.Time {
	var t time.Time
	for _, f := range []string{r.files.Certificate, r.files.Key, r.files.Authority} {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(t) {
			t = i.ModTime()
		}
	}
	return t
}

// Config returns the configuration from the newest files. Files that can't be read, as in the middle of a
// replacement, leave the earlier ones in use.
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
	if c, err := r.read(); err == nil {
		r.current, r.modifiedAt = c, t
	}
	return r.current
}

// ServerConfig returns a configuration that asks for the newest files on each connection.
func (r *Reloader) ServerConfig() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return r.Config(), nil },
	}
}
