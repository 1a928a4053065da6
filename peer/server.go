package peer

import (
	"net"
	"net/rpc"
	"sync"

	"github.com/hickoryshelf/hickoryshelf/config"
	"github.com/hickoryshelf/hickoryshelf/ledger"
	"github.com/hickoryshelf/hickoryshelf/member"
	"github.com/hickoryshelf/hickoryshelf/model"
	"github.com/hickoryshelf/hickoryshelf/quorum"
	"github.com/hickoryshelf/hickoryshelf/route"
)

// Done is the answer of a method that returns nothing.
type Done struct{ OK bool }

// PullRequest asks for what a host that has just started or fallen behind lacks.
type PullRequest struct{ Revision model.Revision }

// PullReply is a host's configuration, evidence and endpoints.
type PullReply struct {
	Config   model.Config
	Evidence []route.Entry
	Nodes    []member.Announcement
}

// BillsRequest asks for a host's copies of lines; an empty customer means all.
type BillsRequest struct{ Customer string }

// Status describes a host to operators.
type Status struct {
	member.Self
	Standing  member.Standing
	Term      uint64
	Commit    uint64
	Voters    []quorum.NodeID
	Learners  []quorum.NodeID
	Running   int
	Waiting   int
	Endpoints int
	Lines     int
	// Pending lists the data centres where the newest revision isn't in force; only the leader knows.
	Pending []string
	// BytesIn and BytesOut count the traffic between hosts since the start.
	BytesIn  int64
	BytesOut int64
	// LogBytes is the size of the control log on disk.
	LogBytes int64
}

// Handler carries out what other hosts ask.
type Handler interface {
	Beat(beat member.Heartbeat) (member.Heartbeat, error)
	Quorum(messages []quorum.Message)
	Propose(command config.Command) (config.Result, error)
	Pull(request PullRequest) PullReply
	Records(lines []ledger.Line) error
	Bills(request BillsRequest) []ledger.Line
	Status() Status
}

// Service is the receiver of net/rpc calls.
type Service struct{ handler Handler }

// Beat exchanges heartbeats.
func (s *Service) Beat(beat member.Heartbeat, reply *member.Heartbeat) (err error) {
	*reply, err = s.handler.Beat(beat)
	return err
}

// Quorum takes messages of the control log.
func (s *Service) Quorum(messages []quorum.Message, reply *Done) error {
	s.handler.Quorum(messages)
	reply.OK = true
	return nil
}

// Propose carries out a command if this host leads.
func (s *Service) Propose(command config.Command, reply *config.Result) (err error) {
	*reply, err = s.handler.Propose(command)
	return err
}

// Pull returns the configuration in force here.
func (s *Service) Pull(request PullRequest, reply *PullReply) error {
	*reply = s.handler.Pull(request)
	return nil
}

// Records keeps lines, and returns once they are synced where there is a disk.
func (s *Service) Records(lines []ledger.Line, reply *Done) error {
	reply.OK = true
	return s.handler.Records(lines)
}

// Bills returns this host's copies of lines.
func (s *Service) Bills(request BillsRequest, reply *[]ledger.Line) error {
	*reply = s.handler.Bills(request)
	return nil
}

// Status describes this host.
func (s *Service) Status(_ Done, reply *Status) error {
	*reply = s.handler.Status()
	return nil
}

// Server accepts connections of other hosts.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	counter  *Traffic
	lock     sync.Mutex
	conns    map[net.Conn]struct{}
}

// Serve starts to accept connections on the listener.
func Serve(listener net.Listener, handler Handler, counter *Traffic) (*Server, error) {
	s := &Server{listener: listener, rpc: rpc.NewServer(), counter: counter, conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName("Peer", &Service{handler: handler}); err != nil {
		return nil, err
	}
	go s.loop()
	return s, nil
}

func (s *Server) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.run(c)
	}
}

func (s *Server) run(c net.Conn) {
	s.lock.Lock()
	s.conns[c] = struct{}{}
	s.lock.Unlock()
	s.rpc.ServeConn(s.counter.wrap(c))
	s.lock.Lock()
	delete(s.conns, c)
	s.lock.Unlock()
}

// Close stops accepting and closes all connections.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
