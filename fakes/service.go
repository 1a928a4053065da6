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

// ServiceOptions describe a stand-in for a plain service.
type ServiceOptions struct {
	ID         string
	DataCentre string
	Name       string
	Listener   net.Listener
	Hosts      []string
	Delay      time.Duration
}

// ServiceFaults are switched on by POST /fake/faults.
type ServiceFaults struct {
	// LoseAnswer runs the call and closes the connection without an answer.
	LoseAnswer bool `json:"lose-answer"`
	// Refuse answers that the call was not run.
	Refuse bool `json:"refuse"`
	// Delay is added before the call runs.
	Delay model.Duration `json:"delay"`
}

// serviceCapacity is how many calls a service runs at once.
const serviceCapacity = 64

// Service is a stand-in for a plain service, some of whose calls must not be repeated.
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

// NewService starts a service.
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

// Close kills the service.
func (s *Service) Close() {
	s.cancel()
	_ = s.server.Close()
}

func (s *Service) describe() model.Endpoint {
	return model.Endpoint{
		ID: s.options.ID, DataCentre: s.options.DataCentre, Address: s.options.Listener.Addr().String(),
		Incarnation: uint64(s.started.UnixMilli()), Holds: []string{s.options.Name}, Capacity: serviceCapacity,
	}
}

// Runs returns the calls that the service ran.
func (s *Service) Runs() []Run {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]Run(nil), s.runs...)
}

func (s *Service) handleRuns(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Runs())
}

// SetFaults switches faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.faults = f
}

func (s *Service) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f ServiceFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// serviceReply is what a call returns.
type serviceReply struct {
	Service string `json:"service"`
	Path    string `json:"path"`
	Number  int    `json:"number"`
	Body    string `json:"body"`
}

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

func (s *Service) recordRun(r *http.Request) int {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.runs = append(s.runs, Run{
		Attempt: r.Header.Get("X-Request-Id"), Version: s.options.Name, Complete: true,
		At: time.Now(), Key: r.Header.Get("Idempotency-Key"),
	})
	return len(s.runs)
}
