package ctlrpc

import "github.com/hickoryshelf/hickoryshelf/warmup"

// WarmUp is what an entry host reports of endpoints that are cold after their start.
type WarmUp struct {
	// Wishes holds the cold endpoints that the host would use now, at most warmup.MaxWishes.
	Wishes []warmup.Wish
}

// PermitRequest asks a control host with which the asking host exchanges nothing else for permits.
type PermitRequest struct {
	Host string
	// Start identifies the process of the host, as in HostReport.
	Start  int64
	WarmUp WarmUp
}

// PermitReply holds the permits that are lent to the asking host.
type PermitReply struct {
	// Control identifies the control host's process, as in ExchangeReply.
	Control string
	Permits []warmup.Permit
}
