package proof

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/hickoryshelf/hickoryshelf/admpb"
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
