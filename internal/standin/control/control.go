// Package control gives each stand-in its control endpoint, its ledger and the
// faults that all of them share. A stand-in serves its protocol through it:
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

// Config holds what a Control needs. Its zero value suits every stand-in but
// the host list.
type Config struct {
	// OnHosts takes the hosts that PUT /control/hosts sets; without it the
	// call is refused.
	OnHosts func([]standinapi.Host)
}

// Control is the control endpoint of one stand-in.
type Control struct {
	// Faults are those in force.
	Faults Faults
	// Ledger is what the stand-in executed.
	Ledger Ledger

	onHosts func([]standinapi.Host)
}

var _ standinapi.Handler = (*Control)(nil)

// New returns a Control without faults.
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

// ShowFaults returns the faults in force.
func (c *Control) ShowFaults(context.Context) (*standinapi.Faults, error) {
	faults := c.Faults.Current()
	return &faults, nil
}

// ReadLedger returns what the stand-in executed.
func (c *Control) ReadLedger(context.Context) (*standinapi.Ledger, error) {
	return c.Ledger.Snapshot(), nil
}

// SetHosts replaces the true host list.
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

// NewError wraps an error that a handler returned.
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
