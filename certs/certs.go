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

// checkEvery is how often at most the files are looked at.
const checkEvery = 2 * time.Second

// Pair is a certificate with its authority, for mutual TLS.
type Pair struct {
	files   conf.TLS
	lock    sync.Mutex
	checked time.Time
	changed time.Time
	current *tls.Config
}

// Load reads the files.
func Load(files conf.TLS) (*Pair, error) {
	p := &Pair{files: files}
	c, err := p.read()
	if err != nil {
		return nil, err
	}
	p.current, p.checked, p.changed = c, time.Now(), p.newest()
	return p, nil
}

func (p *Pair) read() (*tls.Config, error) {
	c, err := tls.LoadX509KeyPair(p.files.Certificate, p.files.Key)
	if err != nil {
		return nil, fmt.Errorf("tls: %w; name a certificate and its key", err)
	}
	b, err := os.ReadFile(p.files.Authority)
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

// newest returns the time of the latest change of a file.
func (p *Pair) newest() time.Time {
	var t time.Time
	for _, f := range []string{p.files.Certificate, p.files.Key, p.files.Authority} {
		if i, err := os.Stat(f); err == nil && i.ModTime().After(t) {
			t = i.ModTime()
		}
	}
	return t
}

// Config returns the configuration from the newest files. Files that can't be read, as in the middle of a
// replacement, leave the earlier ones in use.
func (p *Pair) Config() *tls.Config {
	p.lock.Lock()
	defer p.lock.Unlock()
	if time.Since(p.checked) < checkEvery {
		return p.current
	}
	p.checked = time.Now()
	t := p.newest()
	if !t.After(p.changed) {
		return p.current
	}
	if c, err := p.read(); err == nil {
		p.current, p.changed = c, t
	}
	return p.current
}

// Server returns a configuration that asks for the newest files on each connection.
func (p *Pair) Server() *tls.Config {
	return &tls.Config{
		MinVersion:         tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) { return p.Config(), nil },
	}
}
