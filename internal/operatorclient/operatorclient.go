// Package operatorclient sends requests to the operator API of one of several daemons.
package operatorclient

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sequoiafork/internal/http1"
	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/wire/operatorapi"
)

// DefaultTimeout is the timeout of one request to one daemon. It is longer than a daemon
// waits for the outcome of an edit, so that the daemon's response arrives first.
const DefaultTimeout = 15 * time.Second

// codeNotReady is the error code of a daemon that has no tables yet and has therefore
// changed nothing.
const codeNotReady = "not_ready"

// DefaultMaxResponseBytes is the default of Config.MaxResponseBytes.
const DefaultMaxResponseBytes = 64 << 20

// Config holds the addresses, the timeout and the limit of a Client.
type Config struct {
	// Addrs are the operators' addresses, IP:port, of one or more daemons.
	Addrs []string
	// Timeout is the timeout of one request. Zero means DefaultTimeout.
	Timeout time.Duration
	// MaxResponseBytes bounds the body of a response. Zero means DefaultMaxResponseBytes.
	MaxResponseBytes int64
}

// Client sends requests to the daemons in the order of Config.Addrs.
type Client struct {
	addrs   []string
	clients []*operatorapi.Client
}

// New returns a client. Addresses with host names are rejected.
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
			Timeout:   timeout,
			Transport: newTransport(config),
		}))
		if err != nil {
			return nil, fmt.Errorf("create a client for %s: %w", addr, err)
		}
		c.clients = append(c.clients, client)
	}
	return c, nil
}

func newTransport(config Config) http.RoundTripper {
	return httplimit.New(httplimit.Config{
		// On a reused connection net/http may retry a request on its own, which could send
		// an edit twice.
		Base: http1.New(http1.Config{
			Base: &http.Transport{
				DisableKeepAlives:      true,
				MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
			},
		}),
		MaxBodyBytes: cmp.Or(config.MaxResponseBytes, DefaultMaxResponseBytes),
	})
}

// UnreachableError reports that no daemon accepted the command, or that a query got no
// usable response from any daemon.
type UnreachableError struct {
	Addrs []string
	Err   error
}

// Error returns the addresses that were tried and the last failure.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no daemon answered at %v: %v", e.Addrs, e.Err)
}

// Unwrap returns the last failure.
func (e *UnreachableError) Unwrap() error {
	return e.Err
}

// LostResponseError reports that a command was sent and no complete response was received, so
// that its outcome is unknown.
type LostResponseError struct {
	Addr string
	Err  error
}

// Error returns the daemon's address and the failure.
func (e *LostResponseError) Error() string {
	return fmt.Sprintf("the response of %s was lost: %v", e.Addr, e.Err)
}

// Unwrap returns the failure.
func (e *LostResponseError) Unwrap() error {
	return e.Err
}

// Query sends a read-only request to the daemons in turn until one responds. An error
// response ends it too, except status 503, the response of a daemon that is not ready.
func (c *Client) Query(ctx context.Context, send func(context.Context, *operatorapi.Client) error) error {
	var last error
	for _, client := range c.clients {
		err := send(ctx, client)
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

// Command sends a command once, to the first daemon that accepts a connection and is
// ready. A *LostResponseError means that the command may have taken effect; any other error
// means that it hasn't.
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
			return &LostResponseError{
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

// isDialError reports whether the connection was not established, so that nothing was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
