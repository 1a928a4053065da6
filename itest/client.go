package itest

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/hickoryshelf/hickoryshelf/admpb"
	"github.com/hickoryshelf/hickoryshelf/model"
)

// Eventually calls try every 30 ms until the result is nil. If no call has returned nil within the given time, it fails
// the test with the error of the last call.
func Eventually(t testing.TB, within time.Duration, try func() error) {
	t.Helper()
	e := time.Now().Add(within)
	for {
		err := try()
		if err == nil {
			return
		}
		if time.Now().After(e) {
			t.Fatalf("condition not met within %s: %v", within, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// Change sends one configuration change to a host. document is sent as JSON unless it is nil. expect is the revision that
// the change is based on; 0 means any revision. Without an error the change is committed, but the response may name data
// centres in which the change isn't in force yet. An error comes from the host, or from the connection; in the latter
// case it is unknown whether the change is committed.
func Change(ctx context.Context, h *Host, id string, expect uint64, op admpb.Operation, name string, document any) (*admpb.ChangeResponse, error) {
	var b []byte
	if document != nil {
		var err error
		if b, err = json.Marshal(document); err != nil {
			return nil, err
		}
	}
	r, err := h.Admin().Change(ctx, connect.NewRequest(&admpb.ChangeRequest{
		ChangeId: id, ExpectRevision: expect, Operation: op, Name: name, Document: b,
	}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// Statuses returns the status of each host as h reports it.
func Statuses(ctx context.Context, h *Host) ([]*admpb.HostStatus, error) {
	r, err := h.Admin().Status(ctx, connect.NewRequest(&admpb.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetHosts(), nil
}

// Bills returns the bill lines of a customer as h lists them, or those of all customers if customer is empty.
func Bills(ctx context.Context, h *Host, customer string) ([]*admpb.BillLine, error) {
	r, err := h.Admin().Bills(ctx, connect.NewRequest(&admpb.BillsRequest{Customer: customer}))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetLines(), nil
}

// Versions returns the model versions and the revision of the configuration in force at h.
func Versions(ctx context.Context, h *Host) ([]model.Version, uint64, error) {
	r, err := h.Admin().Show(ctx, connect.NewRequest(&admpb.ShowRequest{}))
	if err != nil {
		return nil, 0, err
	}
	var c model.Config
	err = json.Unmarshal(r.Msg.GetDocument(), &c)
	return c.Versions, r.Msg.GetRevision(), err
}

// GetStatusCode returns the status code of a GET request to the caller address of h, or 0 if the request fails.
func GetStatusCode(h *Host, path string) int {
	r, err := http.Get("http://" + h.Settings.CallerAddress + path)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}
