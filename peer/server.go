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

// Ack is the reply of methods that return no data, and the argument of methods that take none.
type Ack struct{ OK bool }

// PullRequest asks a host for its configuration, evidence and endpoints. A host sends it after a start or when its own
// configuration is out of date. Revision is the revision of the sender's configuration.
type PullRequest struct{ Revision model.Revision }

// PullReply holds a host's configuration in force, its evidence about versions and the endpoints that it knows.
type PullReply struct {
	Config   model.Config
	Evidence []route.Entry
	Nodes    []member.Announcement
}

// BillsRequest asks for a host's copies of a customer's ledger lines. An empty Customer asks for all lines.
type BillsRequest struct{ Customer string }

// Status describes the state of a host for operators.
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
	// Pending lists the data centres where the newest revision isn't in force yet. Only the leader sets it.
	Pending []string
	// BytesIn and BytesOut count the bytes received from and sent to other hosts since the start.
	BytesIn  int64
	BytesOut int64
	// LogBytes is the size of the control log on disk.
	LogBytes int64
}

// Handler implements the methods that Service offers to other hosts.
type Handler interface {
	Beat(heartbeat member.Heartbeat) (member.Heartbeat, error)
	Quorum(messages []quorum.Message)
	Propose(command config.Command) (config.Result, error)
	Pull(request PullRequest) PullReply
	Records(lines []ledger.Line) error
	Bills(request BillsRequest) []ledger.Line
	Status() Status
}

// Service offers the methods of a Handler by net/rpc.
type Service struct{ handler Handler }

// Beat receives a heartbeat and replies with the answer of this host.
func (s *Service) Beat(heartbeat member.Heartbeat, reply *member.Heartbeat) (err error) {
	*reply, err = s.handler.Beat(heartbeat)
	return err
}

// Quorum receives control log messages. It replies without waiting until they are handled.
func (s *Service) Quorum(messages []quorum.Message, reply *Ack) error {
	s.handler.Quorum(messages)
	reply.OK = true
	return nil
}

// Propose proposes a command to the control log. The verdict of the reply is config.VerdictNotLeader unless this host
// is the leader.
func (s *Service) Propose(command config.Command, reply *config.Result) (err error) {
	*reply, err = s.handler.Propose(command)
	return err
}

// Pull replies with this host's configuration in force, evidence and endpoints.
func (s *Service) Pull(request PullRequest, reply *PullReply) error {
	*reply = s.handler.Pull(request)
	return nil
}

// Records stores ledger lines. On a host with a disk, it replies once the lines are synced.
func (s *Service) Records(lines []ledger.Line, reply *Ack) error {
	reply.OK = true
	return s.handler.Records(lines)
}

// Bills replies with this host's copies of ledger lines.
func (s *Service) Bills(request BillsRequest, reply *[]ledger.Line) error {
	*reply = s.handler.Bills(request)
	return nil
}

// Status replies with the status of this host.
func (s *Service) Status(_ Ack, reply *Status) error {
	*reply = s.handler.Status()
	return nil
}

// Server accepts connections from other hosts and serves their calls.
type Server struct {
	listener net.Listener
	rpc      *rpc.Server
	traffic  *Traffic
	lock     sync.Mutex
	conns    map[net.Conn]struct{}
}

// Serve starts a server that accepts connections on the listener and passes calls to the handler. It ends at the first error of the
// listener, which must be that it was closed; see package accept. traffic counts the bytes of the connections.
func Serve(listener net.Listener, handler Handler, traffic *Traffic) (*Server, error) {
	s := &Server{listener: listener, rpc: rpc.NewServer(), traffic: traffic, conns: make(map[net.Conn]struct{})}
	if err := s.rpc.RegisterName("Peer", &Service{handler: handler}); err != nil {
		return nil, err
	}
	go s.loop()
	return s, nil
}

// loop accepts connections until the listener is closed.
func (s *Server) loop() {
	for {
		c, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.run(c)
	}
}

// run serves the calls of one connection until the connection is closed.
func (s *Server) run(c net.Conn) {
	s.lock.Lock()
	s.conns[c] = struct{}{}
	s.lock.Unlock()
	s.rpc.ServeConn(s.traffic.wrap(c))
	s.lock.Lock()
	delete(s.conns, c)
	s.lock.Unlock()
}

// Close stops accepting connections and closes all open ones.
func (s *Server) Close() {
	_ = s.listener.Close()
	s.lock.Lock()
	defer s.lock.Unlock()
	for c := range s.conns {
		_ = c.Close()
	}
}
