package pick

import "github.com/hickoryshelf/hickoryshelf/canary"

// Barred returns the number of endpoints of a service if none of them runs a version that may get requests, and the serial of the rollout
// that bars them. It returns 0 if one may run, or if there is no rollout.
func (s *Set) Barred(service string) (endpoints int, serial uint64) {
	s.lock.Lock()
	defer s.lock.Unlock()
	v, ok := s.rollouts[service]
	if !ok {
		return 0, 0
	}
	for _, n := range s.endpoints {
		switch {
		case !n.serves(service):
		case mayServe(v, n.report.Version):
			return 0, v.Serial
		default:
			endpoints++
		}
	}
	return endpoints, v.Serial
}

// mayServe reports whether a version may get requests in a rollout: it isn't rejected, and it isn't the target of one that was rolled back.
func mayServe(v canary.View, version string) bool {
	return v.MayRun(version) && (version != v.Target || v.Outcome != canary.RolledBack)
}
