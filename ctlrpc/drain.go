package ctlrpc

import (
	"time"

	"github.com/hickoryshelf/hickoryshelf/drain"
)

// HoldsNoDrains is EntryState.DrainIndex of an entry host that holds no state of drains.
const HoldsNoDrains = drain.Unchanged

// Drains is the whole state of drains.
type Drains struct {
	State drain.State
	// Index is that of the newest change, or 0 if the reply tells nothing about drains.
	Index uint64
	// Ages holds the time since each change, by data centre. It is the least that it can be: a control host knows only how long ago it
	// learned of a change, which may have been at its own start.
	Ages map[string]time.Duration
}
