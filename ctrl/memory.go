package ctrl

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"time"

	"github.com/hickoryshelf/hickoryshelf/fleet"
	"github.com/hickoryshelf/hickoryshelf/poison"
	"github.com/hickoryshelf/hickoryshelf/store"
)

const (
	// memoryFile is the file in the data folder that holds the memory for the next start.
	memoryFile = "memory.json"
	// memorySaveInterval is the least time between two writes of the file.
	memorySaveInterval = 500 * time.Millisecond
	// rememberedHeartbeats is the number of heartbeats for which an endpoint from the file is kept without a report.
	rememberedHeartbeats = 3
)

// Memory is what a control host saves for its next start, beside the control log. All of it comes again from endpoints and
// entry hosts, but only after seconds. It may be out of date: hosts name the endpoint that they mean in each request,
// and another one there refuses it.
type Memory struct {
	Reports []fleet.Report `json:"reports"`
	// PrefillTimes holds the prefill time per prompt token by model.
	PrefillTimes map[string]time.Duration `json:"prefill-times"`
	// Poison is the evidence about requests that end endpoints, but for what one host alone has seen, which that host reports
	// again.
	Poison poison.Report `json:"poison"`
}

// Memory returns the memory of a state: the endpoints that haven't departed and the measured prefill times.
func (s State) Memory() Memory {
	r := slices.DeleteFunc(s.Fleet.Reports(), func(r fleet.Report) bool { return r.Phase == fleet.Departed })
	return Memory{Reports: r, PrefillTimes: s.PrefillTimes(), Poison: s.Poison.Confirmed(s.Now)}
}

// WithMemory returns the state of a host that has just started, with the memory of the process before. A remembered
// endpoint is removed unless it reports within rememberedHeartbeats.
func (s State) WithMemory(m Memory) State {
	for _, r := range m.Reports {
		s.Fleet, _ = s.Fleet.WithReport(s.StateMachine.Corrected(r), (rememberedHeartbeats-maxMissedHeartbeats)*s.Heartbeat)
	}
	s.rememberedPrefill = m.PrefillTimes
	s.Poison = s.Poison.WithReport(m.Poison, 0)
	s.poisonRevision++
	return s
}

// memorySaver writes the memory to the data folder after changes of the fleet and when another model was measured.
type memorySaver struct{ host *Host }

func (m memorySaver) run() {
	t := time.NewTicker(memorySaveInterval)
	defer t.Stop()
	var r, p, w uint64
	k, f := 0, false
	for {
		select {
		case <-t.C:
		case <-m.host.stop:
			return
		}
		s := *m.host.state.Load()
		n := len(s.PrefillTimes())
		if s.Fleet.Revision == r && n == k && s.sharedPoisonSum == p && s.watchRevision == w {
			continue
		}
		err := saveMemory(m.host.settings.DataFolder, s.Memory())
		if err == nil {
			r, k, p, w = s.Fleet.Revision, n, s.sharedPoisonSum, s.watchRevision
		}
		if err != nil && !f {
			m.host.log.WithError(err).Warn("control: the memory for the next start can't be saved")
		}
		f = err != nil
	}
}

// saveMemory writes a memory to the data folder and syncs it.
func saveMemory(folder string, m Memory) error {
	b, err := json.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode the memory: %w; report this as a bug", err)
	}
	return store.WriteFile(filepath.Join(folder, memoryFile), b)
}

// loadMemory reads what saveMemory wrote. Without a file the memory is empty.
func loadMemory(folder string) (Memory, error) {
	b, err := os.ReadFile(filepath.Join(folder, memoryFile))
	if errors.Is(err, os.ErrNotExist) {
		return Memory{}, nil
	}
	if err != nil {
		return Memory{}, fmt.Errorf("read the memory: %w; check the disk", err)
	}
	var m Memory
	if err := json.Unmarshal(b, &m); err != nil {
		return Memory{}, fmt.Errorf("decode the memory: %w; it is ignored, hosts and endpoints report again", err)
	}
	return m, nil
}

// ConfirmedReports returns the reports of endpoints that have reported to any control host since the start of this host.
// Only these are passed on: a remembered endpoint may have been replaced at its address meanwhile, and hosts that know
// the replacement would take the old one for a new start.
func (s State) ConfirmedReports() []fleet.Report { return s.Fleet.ReportsHeardSince(0) }
