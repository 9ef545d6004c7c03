// Package operatorclient asks any of several daemons for their operators'
// interface.
package operatorclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sequoiafork/internal/wire/operatorapi"
)

// DefaultTimeout bounds one request to one daemon. It is longer than a daemon
// waits for an edit to be settled, so that its answer comes first.
const DefaultTimeout = 15 * time.Second

// codeNotReady is the code of a daemon that changed nothing and can't yet.
const codeNotReady = "not_ready"

// Config says whom to ask.
type Config struct {
	// Addrs are the operators' addresses, IP:port, of one or more daemons.
	Addrs []string
	// Timeout bounds one request. Zero means DefaultTimeout.
	Timeout time.Duration
}

// Client asks the daemons in their order.
type Client struct {
	addrs   []string
	clients []*operatorapi.Client
}

// New returns a client. Host names are refused.
func New(config Config) (*Client, error) {
	if len(config.Addrs) == 0 {
		return nil, errors.New("no operators' address is given")
	}
	timeout := config.Timeout
	if timeout == 0 {
		timeout = DefaultTimeout
	}
	c := &Client{
		addrs: config.Addrs,
	}
	for _, addr := range config.Addrs {
		if _, err := netip.ParseAddrPort(addr); err != nil {
			return nil, fmt.Errorf("address %q: use IP:port, no host name", addr)
		}
		client, err := operatorapi.NewClient("http://"+addr, operatorapi.WithClient(&http.Client{
			Timeout: timeout,
			// A reused connection could send an edit twice on its own.
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		}))
		if err != nil {
			return nil, fmt.Errorf("client of %s: %w", addr, err)
		}
		c.clients = append(c.clients, client)
	}
	return c, nil
}

// UnreachableError says that no daemon took the request.
type UnreachableError struct {
	Addrs []string
	Err   error
}

// Error names the addresses that were tried.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon answered at %v: %v", e.Addrs, e.Err)
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// LostReplyError says that an edit was sent and its reply never came whole.
type LostReplyError struct {
	Addr string
	Err  error
}

// Error names the daemon.
func (e *LostReplyError) Error() string {
	return fmt.Sprintf("the reply of %s was lost: %v", e.Addr, e.Err)
}

// Unwrap returns the failure.
func (e *LostReplyError) Unwrap() error {
	return e.Err
}

// Query asks the first daemon that answers. An error answer counts as one, but for
// that of a daemon that is not ready.
func (c *Client) Query(ctx context.Context, ask func(context.Context, *operatorapi.Client) error) error {
	var last error
	for _, client := range c.clients {
		err := ask(ctx, client)
		var status *operatorapi.ErrorStatusCode
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &status):
			last = err
		case status.StatusCode != http.StatusServiceUnavailable:
			return err
		default:
			last = err
		}
		if ctx.Err() != nil {
			break
		}
	}
	var status *operatorapi.ErrorStatusCode
	if errors.As(last, &status) {
		return last
	}
	return &UnreachableError{
		Addrs: c.addrs,
		Err:   last,
	}
}

// Command sends a command to the first daemon that can be connected to and is
// ready, once. A *LostReplyError means that the command may have taken effect;
// any other error means that it hasn't.
func (c *Client) Command(ctx context.Context, send func(context.Context, *operatorapi.Client) error) error {
	var last error
	for i, client := range c.clients {
		err := send(ctx, client)
		if err == nil {
			return nil
		}
		var status *operatorapi.ErrorStatusCode
		answered := errors.As(err, &status)
		switch {
		case answered && status.Response.Code == codeNotReady:
		case answered && status.StatusCode < http.StatusInternalServerError:
			return err
		case answered && status.StatusCode == http.StatusServiceUnavailable:
			return err
		case !isDialError(err):
			return &LostReplyError{
				Addr: c.addrs[i],
				Err:  err,
			}
		}
		last = err
	}
	var status *operatorapi.ErrorStatusCode
	if errors.As(last, &status) {
		return last
	}
	return &UnreachableError{
		Addrs: c.addrs,
		Err:   last,
	}
}

// notSent reports whether the connection was never made.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
