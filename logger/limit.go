package logger

import "sync/atomic"

const (
	// linesPerSecond and burstLines are the sustained rate and the burst of lines below the warning level.
	linesPerSecond = 400
	burstLines     = 800
)

// rateLimit limits the rate of lines below the warning level with a leaky bucket. It is safe for concurrent use.
type rateLimit struct {
	lastSecond atomic.Int64 // Unix time of the latest line below the warning level
	recent     atomic.Int64 // fill of the bucket: +1 per line, passed or not, and -linesPerSecond each second
}

// allow reports whether a line in the given second, as Unix time, is within the rate limit, and counts the line.
func (f *rateLimit) allow(second int64) bool {
	if o := f.lastSecond.Swap(second); o != second {
		f.recent.Store(max(0, f.recent.Load()-linesPerSecond*max(1, second-o)))
	}
	return f.recent.Add(1) <= burstLines
}
