package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/hickoryshelf/hickoryshelf/model"
)

// ServiceOptions configure a stand-in for a plain service.
type ServiceOptions struct {
	ID         string
	DataCentre string
	Name       string
	Listener   net.Listener
	// Hosts are the caller addresses of entry hosts.
	Hosts []string
	// Delay is the time that a call takes.
	Delay time.Duration
}

// ServiceFaults are the injected faults of a service. POST /fake/faults sets them. The zero value injects none.
type ServiceFaults struct {
	// LoseAnswer runs each call and closes the connection without a response.
	LoseAnswer bool `json:"lose-answer"`
	// Refuse refuses each call as not run.
	Refuse bool `json:"refuse"`
	// Delay is additional time before a call runs.
	Delay model.Duration `json:"delay"`
}

// serviceCapacity is the announced number of calls that run at the same time. It isn't enforced.
const serviceCapacity = 64

// Service is a stand-in for a plain service, which isn't a model engine and may have calls that aren't repeatable.
type Service struct {
	options   ServiceOptions
	server    *http.Server
	announcer *announcer
	cancel    context.CancelFunc
	lock      sync.Mutex
	runs      []Run
	faults    ServiceFaults
	started   time.Time
}

// NewService starts a service, which serves and announces itself until Close.
func NewService(o ServiceOptions) *Service {
	s := &Service{options: o, started: time.Now()}
	s.announcer = newAnnouncer(o.Hosts, s.describe)
	m := http.NewServeMux()
	m.HandleFunc("GET /fake/runs", s.handleRuns)
	m.HandleFunc("POST /fake/faults", s.handleFaults)
	m.HandleFunc("/", s.handleCall)
	s.server = &http.Server{Handler: m, ReadHeaderTimeout: time.Minute}
	var c context.Context
	c, s.cancel = context.WithCancel(context.Background())
	go s.loop()
	go s.announcer.loop(c)
	return s
}

func (s *Service) loop() { _ = s.server.Serve(s.options.Listener) }

// Close stops the service at once and closes its connections.
func (s *Service) Close() {
	s.cancel()
	_ = s.server.Close()
}

// describe returns the announcement of the service, without a sequence number.
func (s *Service) describe() model.Endpoint {
	return model.Endpoint{
		ID: s.options.ID, DataCentre: s.options.DataCentre, Address: s.options.Listener.Addr().String(),
		Incarnation: uint64(s.started.UnixMilli()), Holds: []string{s.options.Name}, Capacity: serviceCapacity,
	}
}

// Runs returns copies of all calls that the service has run, in order.
func (s *Service) Runs() []Run {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]Run(nil), s.runs...)
}

// handleRuns returns all runs as a JSON array.
func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// SetFaults replaces the injected faults. A call keeps the faults that it started with.
func (s *Service) SetFaults(f ServiceFaults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = f
}

// handleFaults sets the injected faults from a JSON object.
func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// serviceReply is the response to a call.
type serviceReply struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	// Number is the number of calls that the service has run so far, including this one.
	Number int `json:"number"`
	// Body is the body of the request.
	Body string `json:"body"`
}

// handleCall runs a call on any path and returns its number, path and body.
func (s *Service) handleCall(w http.ResponseWriter, r *http.Request) {
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.lock.Lock()
	f := s.faults
	s.lock.Unlock()
	if f.Refuse {
		w.Header().Set("Hickoryshelf-Not-Run", "true")
		http.Error(w, "refused", http.StatusServiceUnavailable)
		return
	}
	time.Sleep(s.options.Delay + f.Delay.Std())
	n := s.recordRun(r)
	if f.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(serviceReply{Service: s.options.Name, Path: r.URL.Path, Number: n, Body: string(b)})
}

// recordRun adds the run of a call and returns the number of all runs.
func (s *Service) recordRun(r *http.Request) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.runs = append(s.runs, Run{
		Attempt: r.Header.Get("X-Request-Id"), Version: s.options.Name, Complete: true,
		At: time.Now(), Key: r.Header.Get("Idempotency-Key"),
	})
	return len(s.runs)
}
