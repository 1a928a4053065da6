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

// Eventually tries until it succeeds, and fails the test after the given time.
func Eventually(t testing.TB, within time.Duration, try func() error) {
	t.Helper()
	e := time.Now().Add(within)
	for {
		err := try()
		if err == nil {
			return
		}
		if time.Now().After(e) {
			t.Fatalf("not within %s: %v", within, err)
		}
		time.Sleep(30 * time.Millisecond)
	}
}

// Change sends one change to a host.
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

// Statuses returns what a host says of all hosts.
func Statuses(ctx context.Context, h *Host) ([]*admpb.HostStatus, error) {
	r, err := h.Admin().Status(ctx, connect.NewRequest(&admpb.StatusRequest{}))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetHosts(), nil
}

// Bills returns a customer's lines as a host lists them.
func Bills(ctx context.Context, h *Host, customer string) ([]*admpb.BillLine, error) {
	r, err := h.Admin().Bills(ctx, connect.NewRequest(&admpb.BillsRequest{Customer: customer}))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetLines(), nil
}

// Versions returns the versions in force at a host, and the revision.
func Versions(ctx context.Context, h *Host) ([]model.Version, uint64, error) {
	r, err := h.Admin().Show(ctx, connect.NewRequest(&admpb.ShowRequest{}))
	if err != nil {
		return nil, 0, err
	}
	var c model.Config
	err = json.Unmarshal(r.Msg.GetDocument(), &c)
	return c.Versions, r.Msg.GetRevision(), err
}

// GetStatus returns the status of a GET request to a host's caller address, or 0 without an answer.
func GetStatus(h *Host, path string) int {
	r, err := http.Get("http://" + h.Settings.CallerAddress + path)
	if err != nil {
		return 0
	}
	_ = r.Body.Close()
	return r.StatusCode
}
