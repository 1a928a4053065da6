package entry

import (
	"net/rpc"
	"time"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/dial"
)

const (
	// leastSearchPause and mostSearchPause bound the pause between two rounds of questions. With questionTimeout they are well below
	// the time within which a change has to be in force.
	leastSearchPause = 300 * time.Millisecond
	mostSearchPause  = 500 * time.Millisecond
	// questionTimeout bounds the wait for the answer whether a control host has a leader.
	questionTimeout = 700 * time.Millisecond
	// electionTime is how long control hosts may take to elect a leader. Until then only the members of the control log are asked,
	// if any of them can be reached.
	electionTime = time.Second
	// searchLogInterval is the interval of the lines about a search that goes on.
	searchLogInterval = 3 * time.Second
)

// search asks control hosts whether they have a leader, from the loss of a current one until there is one again. Each is asked over a
// connection that is kept open meanwhile, and gets its next question only after the end of the one before: the questions don't become
// more because control hosts answer them late. They are small, since hundreds of hosts ask them when a leader is lost.
type search struct {
	// since is when the search began, and logged when its last line was written.
	since, logged time.Time
	// unreached is set once no connection to members of the control log could be opened.
	unreached bool
	// due is signalled when the next round of questions is.
	due   *time.Timer
	pause pause
	// asked holds the control hosts that have been asked and not answered, and kept the open connections to the others.
	asked map[string]bool
	kept  map[string]*rpc.Client
	// answers gets the ends of questions, until over is closed.
	answers chan answer
	// told gets what other entry hosts know of control hosts, until over is closed. asking counts those that were asked and haven't
	// answered yet.
	told   chan directoryAnswer
	asking int
	// named holds the addresses that other entry hosts have told and that weren't known. Each begins a round of questions at once only one
	// time: the roster may have no room for it.
	named map[string]bool
	over  chan struct{}
}

func newSearch() *search {
	s := &search{
		pause: pause{least: leastSearchPause, most: mostSearchPause}, asked: map[string]bool{}, kept: map[string]*rpc.Client{},
		answers: make(chan answer), told: make(chan directoryAnswer), named: map[string]bool{}, over: make(chan struct{}), since: time.Now(), logged: time.Now(),
	}
	s.due = time.NewTimer(s.pause.next())
	return s
}

// isLogDue reports whether the search has gone on for searchLogInterval since its last line, and records that another one is written.
func (s *search) isLogDue() bool {
	if time.Since(s.logged) < searchLogInterval {
		return false
	}
	s.logged = time.Now()
	return true
}

// dueC returns the channel of due. A nil search is never due.
func (s *search) dueC() <-chan time.Time {
	if s == nil {
		return nil
	}
	return s.due.C
}

// answerC returns the channel of the answers. A nil search gets none.
func (s *search) answerC() <-chan answer {
	if s == nil {
		return nil
	}
	return s.answers
}

// toldC returns the channel of what other entry hosts know. A nil search gets nothing.
func (s *search) toldC() <-chan directoryAnswer {
	if s == nil {
		return nil
	}
	return s.told
}

// isWide reports whether the members of the control log aren't all that is asked: none was reached, or the search goes on for longer than an
// election takes.
func (s *search) isWide() bool {
	return s != nil && (s.unreached || time.Since(s.since) > electionTime)
}

// widen makes the search ask others than the members of the control log from now on.
func (s *search) widen() {
	if !s.unreached {
		s.unreached = true
		s.hurry()
	}
}

// hurry makes the next round of questions due at once.
func (s *search) hurry() { s.due.Reset(0) }

// name records addresses that other entry hosts have told.
func (s *search) name(addresses []string) {
	for _, a := range addresses {
		s.named[a] = true
	}
}

// ask asks all control hosts at the same time, but those whose answer is awaited and those to leave out.
func (s *search) ask(controls []string, leaveOut func(address string) bool) {
	for _, a := range controls {
		if s.asked[a] || leaveOut(a) {
			continue
		}
		s.asked[a] = true
		q := question{address: a, client: s.kept[a], answers: s.answers, over: s.over}
		delete(s.kept, a)
		go q.run()
	}
	s.due.Reset(s.pause.next())
}

// take records the end of a question. It keeps the connection.
func (s *search) take(a answer) {
	delete(s.asked, a.address)
	if a.client != nil {
		s.kept[a.address] = a.client
	}
}

// use hands over the connection to a control host.
func (s *search) use(address string) *rpc.Client {
	c := s.kept[address]
	delete(s.kept, address)
	return c
}

// end closes the connections of the search.
func (s *search) end() {
	s.due.Stop()
	close(s.over)
	for _, c := range s.kept {
		_ = c.Close() // nothing is under way on it
	}
}

// question asks one control host whether it has a leader. It opens a connection unless client is set.
type question struct {
	address string
	client  *rpc.Client
	answers chan<- answer
	over    <-chan struct{}
}

// answer is the end of a question. client is nil if there is no answer.
type answer struct {
	address string
	client  *rpc.Client
	leads   bool
}

func (q question) run() {
	a := answer{address: q.address}
	a.client, a.leads = q.ask()
	select {
	case q.answers <- a:
	case <-q.over:
		if a.client != nil {
			_ = a.client.Close() // nothing is under way on it
		}
	}
}

// ask returns the connection and whether the control host has a leader. One of an earlier build can't tell, and is taken for one that
// has.
func (q question) ask() (c *rpc.Client, leads bool) {
	c = q.client
	if c == nil {
		n, err := dial.Connect(q.address)
		if err != nil {
			return nil, false
		}
		c = rpc.NewClient(n)
	}
	var r ctlrpc.LeaderReply
	d := c.Go(ctlrpc.ServiceName+".Leader", ctlrpc.Ack{}, &r, make(chan *rpc.Call, 1))
	t := time.NewTimer(questionTimeout)
	defer t.Stop()
	select {
	case <-d.Done:
		_, old := d.Error.(rpc.ServerError)
		if d.Error == nil || old {
			return c, r.Current || old
		}
	case <-t.C:
	case <-q.over:
	}
	_ = c.Close() // nothing is under way on it that matters
	return nil, false
}
