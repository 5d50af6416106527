package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"chervilpath/core/declare"
)

type (
	// Order tells an engine which models and adapters it should have loaded,
	// and its role.
	Order struct {
		// Fence is the fencing number of the lease under which the order is given.
		Fence    int64    `json:"fence"`
		Models   []string `json:"models"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role,omitempty"`
	}

	// State is what an engine has loaded.
	State struct {
		// Fence is the highest fencing number that the engine has seen.
		Fence    int64    `json:"fence"`
		Models   []string `json:"models"`
		Adapters []string `json:"adapters"`
		Role     string   `json:"role"`
	}
)

// ErrStaleFence means that an engine rejected an order because it has seen a higher
// fencing number.
var ErrStaleFence = errors.New("the engine has seen a higher fencing number")

// State requests what an engine has loaded.
func (c *Client) State(ctx context.Context, e *declare.Endpoint) (State, error) {
	var out State
	err := c.get(ctx, c.singleUse, e, "/state", &out)
	return out, err
}

// SendOrder sends an order to an engine. The error wraps ErrStaleFence if the
// engine rejected the order. Any other error leaves open whether the order took
// effect.
func (c *Client) SendOrder(ctx context.Context, e *declare.Endpoint, o Order) error {
	data, err := json.Marshal(o)
	if err != nil {
		return fmt.Errorf("encoding an order: %w", err)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.Address()+"/orders", bytes.NewReader(data))
	if err != nil {
		return fmt.Errorf("sending engine %q an order: %w", e.Name(), err)
	}
	req.Header.Set("Content-Type", contentJSON)
	resp, err := c.singleUse.Do(req)
	if err != nil {
		return fmt.Errorf("sending engine %q an order: %w", e.Name(), err)
	}
	defer closeBody(resp)
	switch {
	case resp.StatusCode == http.StatusConflict:
		return fmt.Errorf("sending engine %q an order with fence %d: %w", e.Name(), o.Fence, ErrStaleFence)
	case resp.StatusCode >= http.StatusMultipleChoices:
		return fmt.Errorf("sending engine %q an order: status %d", e.Name(), resp.StatusCode)
	}
	return nil
}
