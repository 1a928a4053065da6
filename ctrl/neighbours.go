package ctrl

import (
	"math/rand/v2"
	"time"
)

// maxNeighbours bounds the entry hosts that are named to another one.
const maxNeighbours = 6

// neighbours returns the peer addresses of some entry hosts that count as running, without the named one. They are drawn at random, so that
// those of one failure domain are rarely all that a host knows.
func (s State) neighbours(host string) []string {
	r := s.assistAddresses(host, s.hostsSince())
	rand.Shuffle(len(r), func(i, j int) { r[i], r[j] = r[j], r[i] })
	return r[:min(len(r), maxNeighbours)]
}

// assistAddresses returns the peer addresses of the entry hosts that were heard of since a time and don't stop, without the named one.
func (s State) assistAddresses(without string, since time.Duration) []string {
	var r []string
	for i := s.entryHosts.Iterator(); !i.Done(); {
		n, h, _ := i.Next()
		if a := h.report.Assist; n != without && h.heardAt >= since && a.Address != "" && !a.Stopping {
			r = append(r, a.Address)
		}
	}
	return r
}
