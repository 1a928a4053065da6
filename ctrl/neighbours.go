package ctrl

import "math/rand/v2"

// maxNeighbours bounds the entry hosts that are named to another one.
const maxNeighbours = 6

// neighbours returns the peer addresses of some entry hosts that count as running, without the named one. They are drawn at random, so that
// those of one failure domain are rarely all that a host knows.
func (s State) neighbours(host string) []string {
	var r []string
	b := s.hostsSince()
	for i := s.entryHosts.Iterator(); !i.Done(); {
		n, h, _ := i.Next()
		if a := h.report.Assist; n != host && h.heardAt >= b && a.Address != "" && !a.Stopping {
			r = append(r, a.Address)
		}
	}
	rand.Shuffle(len(r), func(i, j int) { r[i], r[j] = r[j], r[i] })
	return r[:min(len(r), maxNeighbours)]
}
