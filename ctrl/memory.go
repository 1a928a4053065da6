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
	"github.com/hickoryshelf/hickoryshelf/store"
)

const (
	// fleetFile is the file in the data folder that holds the fleet for the next start.
	fleetFile = "fleet.json"
	// fleetSaveInterval is the least time between two writes of the file.
	fleetSaveInterval = 500 * time.Millisecond
	// rememberedHeartbeats is the number of heartbeats for which an endpoint from the file is kept without a report.
	rememberedHeartbeats = 3
)

// fleetSaver writes the fleet to the data folder after changes. Endpoints report to some control host only every few
// seconds, so that after a restart of all control hosts the file says sooner where requests can go. A report in it may
// be out of date: hosts name the endpoint that they mean in each request, and another one there refuses it.
type fleetSaver struct{ host *Host }

func (s fleetSaver) run() {
	t := time.NewTicker(fleetSaveInterval)
	defer t.Stop()
	var saved uint64
	failed := false
	for {
		select {
		case <-t.C:
		case <-s.host.stop:
			return
		}
		f := s.host.state.Load().Fleet
		if f.Revision == saved {
			continue
		}
		err := saveFleet(s.host.settings.DataFolder, f)
		if err == nil {
			saved = f.Revision
		}
		if err != nil && !failed {
			s.host.log.WithError(err).Warn("control: the fleet can't be saved for the next start")
		}
		failed = err != nil
	}
}

// saveFleet writes the reports of the endpoints that haven't departed to the data folder and syncs them.
func saveFleet(folder string, f fleet.State) error {
	r := slices.DeleteFunc(f.Reports(), func(r fleet.Report) bool { return r.Phase == fleet.Departed })
	b, err := json.Marshal(r)
	if err != nil {
		return fmt.Errorf("encode the fleet: %w; report this as a bug", err)
	}
	return store.WriteFile(filepath.Join(folder, fleetFile), b)
}

// loadFleet reads the reports that saveFleet wrote, or none if there is no file.
func loadFleet(folder string) ([]fleet.Report, error) {
	b, err := os.ReadFile(filepath.Join(folder, fleetFile))
	if errors.Is(err, os.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, fmt.Errorf("read the saved fleet: %w; check the disk", err)
	}
	var r []fleet.Report
	if err := json.Unmarshal(b, &r); err != nil {
		return nil, fmt.Errorf("decode the saved fleet: %w; it is ignored, endpoints report again", err)
	}
	return r, nil
}

// WithRemembered returns the state of a host that has just started, with the reports that the process before has saved.
// An endpoint among them is removed unless it reports within rememberedHeartbeats.
func (s State) WithRemembered(reports []fleet.Report) State {
	for _, r := range reports {
		s.Fleet, _ = s.Fleet.WithReport(r, (rememberedHeartbeats-maxMissedHeartbeats)*s.Heartbeat)
	}
	return s
}

// ConfirmedReports returns the reports of endpoints that have reported to any control host since the start of this host.
// Only these are passed on: a remembered endpoint may have been replaced at its address meanwhile, and hosts that know
// the replacement would take the old one for a new start.
func (s State) ConfirmedReports() []fleet.Report { return s.Fleet.ReportsHeardSince(0) }
