// Package control implements the parts common to all stand-ins: the control
// endpoint, the ledger of executed calls and the injection of transport faults.
// A stand-in serves its protocol through it:
//
//	c := control.New(control.Config{})
//	err := c.Serve(ctx, "127.0.0.1:0", protocolHandler, os.Stdout)
package control

import (
	"context"
	"errors"
	"net/http"

	"sequoiafork/internal/wire/standinapi"
)

// Config holds the settings of a Control. The zero value is right for every
// stand-in except the host list.
type Config struct {
	// OnHosts is called with the hosts set by PUT /control/hosts; when nil, the
	// call is rejected.
	OnHosts func([]standinapi.Host)
}

// Control is the control endpoint of one stand-in.
type Control struct {
	// Faults holds the faults in effect.
	Faults Faults
	// Ledger records what the stand-in executed.
	Ledger Ledger

	onHosts func([]standinapi.Host)
}

var _ standinapi.Handler = (*Control)(nil)

// New returns a Control with no faults.
func New(c Config) *Control {
	return &Control{
		onHosts: c.OnHosts,
	}
}

// SetFaults replaces the faults.
func (c *Control) SetFaults(_ context.Context, faults *standinapi.Faults) error {
	c.Faults.Set(*faults)
	return nil
}

// ShowFaults returns the faults in effect.
func (c *Control) ShowFaults(context.Context) (*standinapi.Faults, error) {
	faults := c.Faults.Current()
	return &faults, nil
}

// ReadLedger returns what the stand-in executed.
func (c *Control) ReadLedger(context.Context) (*standinapi.Ledger, error) {
	return c.Ledger.Snapshot(), nil
}

// SetHosts replaces the true set of hosts.
func (c *Control) SetHosts(_ context.Context, hosts *standinapi.Hosts) error {
	if c.onHosts == nil {
		return &standinapi.ErrorStatusCode{
			StatusCode: http.StatusNotFound,
			Response: standinapi.Error{
				Code:    "not_found",
				Message: "only the host list takes hosts",
			},
		}
	}
	c.onHosts(hosts.Hosts)
	return nil
}

// NewError converts an error returned by a handler into an error response.
func (c *Control) NewError(_ context.Context, err error) *standinapi.ErrorStatusCode {
	var status *standinapi.ErrorStatusCode
	if errors.As(err, &status) {
		return status
	}
	return &standinapi.ErrorStatusCode{
		StatusCode: http.StatusInternalServerError,
		Response: standinapi.Error{
			Code:    "failed",
			Message: err.Error(),
		},
	}
}
