package host

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/hickoryshelf/hickoryshelf/core"
)

// orderBody is the JSON body of an order to an endpoint. Fence is the fencing number, Load and Unload are the versions
// to load and to unload.
type orderBody struct {
	Fence  uint64 `json:"fence"`
	Load   string `json:"load"`
	Unload string `json:"unload"`
}

// orderJob sends one order to an endpoint and reports OrderEnded. Status 204 confirms the order; status 429 means that
// the weight store's rate limit stopped a load.
type orderJob struct {
	host  *Host
	order core.SendOrder
}

func (j orderJob) run() {
	e := core.OrderEnded{Endpoint: j.order.Order.Endpoint.ID}
	s, err := j.send()
	if err != nil {
		j.host.log.WithError(err).WithField("endpoint", e.Endpoint).Warn("place: sending an order to the endpoint failed")
	}
	e.OK, e.StoreLimited = s == http.StatusNoContent, s == http.StatusTooManyRequests
	j.host.post(e)
}

// send sends the order and returns the status code of the response. It returns context.DeadlineExceeded without
// sending when the leader's lease has ended. GetBody is removed so that the HTTP client can't send the order a second
// time, such as after a redirect.
func (j orderJob) send() (int, error) {
	o := j.order.Order
	b, err := json.Marshal(orderBody{Fence: o.Fence, Load: o.Load, Unload: o.Unload})
	if err != nil {
		return 0, err
	}
	c, f := context.WithTimeout(context.Background(), core.OrderTimeout)
	defer f()
	q, err := http.NewRequestWithContext(c, http.MethodPost, "http://"+o.Endpoint.Address+"/v1/orders", bytes.NewReader(b))
	if err != nil {
		return 0, err
	}
	q.GetBody = nil
	if j.host.now() >= j.order.Deadline {
		return 0, context.DeadlineExceeded
	}
	r, err := j.host.orderClient.Do(q)
	if err != nil {
		return 0, err
	}
	_ = r.Body.Close()
	return r.StatusCode, nil
}
