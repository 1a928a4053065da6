package poison

import (
	"math"
	"time"
)

const (
	// usageWindow is the time over which the rate of requests with a key is averaged. minUsageTime replaces a shorter time
	// since the first of them.
	usageWindow  = 30 * time.Second
	minUsageTime = 5 * time.Second
	// maxUsages bounds the keys whose use is remembered.
	maxUsages = 8192
	// clearingAnswers is the number of served requests with a key that show that it ends no endpoint. They count for
	// servedWindow, so that a key that begins to end endpoints is found.
	clearingAnswers = 2
	servedWindow    = 10 * time.Second
	// A service that has served none of starvedRequests or more requests for starvedTime is down, whatever the cause.
	starvedRequests = 8
	starvedTime     = 2 * time.Second
)

// usage is how often requests with a key, or of a service, came to a host and were served.
type usage struct {
	// starts is the number of requests in the last usageWindow, as an exponentially decayed count. updated is when it was
	// last decayed.
	starts  float64
	updated time.Duration
	// first is when the first request was counted, and total the number of all.
	first time.Duration
	total int
	// served holds the times of the last requests that were served, the newest first.
	served [clearingAnswers]time.Duration
	// answers counts the requests that were served, and totalAtAnswer is the total as the last of them was.
	answers       int
	totalAtAnswer int
}

// at returns the usage with its count decayed to now.
func (u usage) at(now time.Duration) usage {
	u.starts *= math.Exp(-(now - u.updated).Seconds() / usageWindow.Seconds())
	u.updated = now
	return u
}

// withStart returns the usage after a request.
func (u usage) withStart(now time.Duration) usage {
	if u.starts == 0 {
		u.first = now
	}
	u = u.at(now)
	u.starts++
	u.total++
	return u
}

// withServed returns the usage after a request was served.
func (u usage) withServed(now time.Duration) usage {
	copy(u.served[1:], u.served[:])
	u.served[0] = now
	u.answers++
	u.totalAtAnswer = u.total
	return u
}

// servedLately reports whether clearingAnswers requests were served within servedWindow.
func (u usage) servedLately(now time.Duration) bool {
	return u.answers >= clearingAnswers && now-u.served[clearingAnswers-1] <= servedWindow
}

// starved reports whether requests, beside a number of some kind, come but none was served lately.
func (u usage) starved(beside int, now time.Duration) bool {
	return now-u.served[0] > starvedTime && u.total-u.totalAtAnswer-beside >= starvedRequests
}

// rate returns the requests per second since the first one, beside the present one.
func (u usage) rate(now time.Duration) float64 {
	w := usageWindow.Seconds()
	t := w * (1 - math.Exp(-max(now-u.first, minUsageTime).Seconds()/w))
	return max(presentStart, u.at(now).starts-presentStart) / t
}

// presentStart is the part of the request that a rate is asked for that doesn't count towards it.
const presentStart = 0.5
