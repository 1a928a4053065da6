package ctrl

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/hickoryshelf/hickoryshelf/ctlrpc"
	"github.com/hickoryshelf/hickoryshelf/roster"
)

const (
	// joinInterval is the interval of join orders from a host that isn't in the control log or hears no leader. It
	// is also the timeout of each join call.
	joinInterval = 250 * time.Millisecond
	// joinAfterSilence is how long a member of the control log hears no leader before it asks to join again.
	joinAfterSilence = 1500 * time.Millisecond
	// directoryEvery is the number of join orders after which an entry host is asked for control hosts.
	directoryEvery = 8
)

// SetSeeds adopts the seeds of newer settings, as peer addresses.
func (h *Host) SetSeeds(peers []string) { h.seeds.Store(&peers) }

// seedPeers returns the peer addresses of the seeds of the newest settings.
func (h *Host) seedPeers() []string {
	if l := h.seeds.Load(); l != nil {
		return *l
	}
	return h.settings.SeedPeers()
}

// joiner sends join orders while this host isn't in the control log or hears no leader.
type joiner struct {
	host *Host
	// places holds where other control hosts may be.
	places roster.Roster
}

func (j *joiner) run() {
	t := time.NewTicker(joinInterval)
	defer t.Stop()
	for i := 1; ; i++ {
		select {
		case <-t.C:
		case <-j.host.stop:
			return
		}
		s := j.host.state.Load()
		if j.host.leaving.Load() || s.Log.Peers.Has(s.Node) && s.LeaderSilence() < joinAfterSilence {
			continue
		}
		if i%directoryEvery == 0 {
			j.askEntryHost(s)
		}
		j.join(s, i)
	}
}

// join sends a join order to one of the control hosts that are known; the i-th call picks them in turn.
func (j *joiner) join(s *State, i int) {
	j.places = j.places.WithMembers(s.ControlAddresses()).WithSeeds(j.host.seedPeers())
	a := j.places.All()
	p := a[i%len(a)]
	if p == Address(s.Node) {
		return
	}
	var r ctlrpc.OrderReply
	err := j.host.links.order(p, ctlrpc.Order{Verb: ctlrpc.Join, Node: s.Node}, &r, joinInterval)
	if err != nil || r.Status != ctlrpc.Accepted {
		j.host.log.WithError(err).WithField("control", p).Debug("control: join order failed, another host is asked next")
	}
}

// askEntryHost asks one of the entry hosts that this host knows which control hosts there are: those in the log and in the settings may all
// have been replaced while it was out of reach.
func (j *joiner) askEntryHost(s *State) {
	l := s.assistAddresses("", 0)
	if j.host.askDirectory == nil || len(l) == 0 {
		return
	}
	a := l[rand.IntN(len(l))]
	d, err := j.host.askDirectory(a)
	if err != nil {
		j.host.log.WithError(err).WithField("entry", a).Debug("control: an entry host didn't name control hosts")
		return
	}
	n := j.places.WithHeard(d.Controls)
	if len(n.All()) > len(j.places.All()) {
		j.host.log.WithFields(logrus.Fields{"entry": a, "controls": d.Controls}).Warn("control: an entry host names control hosts that this one didn't know")
	}
	j.places = n
}
