// Package callerclient is a client for callers. It resolves the addresses to use,
// connects to them directly and applies one deadline to the whole call.
//
//	client, err := callerclient.New(callerclient.Config{Addrs: addrs, Caller: "desk-1"})
//	answer, err := client.Call(ctx, callerclient.Request{Route: "answer", Workspace: "desk", Input: "..."})
package callerclient

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
	"sequoiafork/internal/outcome"
	"sequoiafork/internal/wire/callerapi"
)

// DefaultMaxResponseBytes is the default of Config.MaxResponseBytes.
const DefaultMaxResponseBytes = 64 << 20

// Config configures a Client. Addrs is required.
type Config struct {
	// Addrs are the caller addresses (IP:port) of one or more daemons. Resolve queries
	// them for the addresses to use.
	Addrs []string
	// Caller is the name of this caller, by which callers are distributed over the daemons.
	Caller string
	// DataCentre is the data centre of this caller, or "" if it is not known.
	DataCentre string
	// SkipResolve sends requests to Addrs without resolving.
	SkipResolve bool
	// MaxResponseBytes bounds the body of a response, a streamed one too. Zero means
	// DefaultMaxResponseBytes.
	MaxResponseBytes int64
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client. It rejects host names in place of IP addresses.
func New(config Config) (*Client, error) {
	if len(config.Addrs) == 0 {
		return nil, errors.New("no daemon address given")
	}
	for _, addr := range config.Addrs {
		if err := checkAddr(addr); err != nil {
			return nil, err
		}
	}
	return &Client{
		config: config,
		http: &http.Client{
			Transport: httplimit.New(httplimit.Config{
				// On a reused connection, http.Transport may itself send a request twice.
				Base: http1.New(http1.Config{
					Base: &http.Transport{
						DisableKeepAlives:      true,
						MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
					},
				}),
				MaxBodyBytes: cmp.Or(config.MaxResponseBytes, DefaultMaxResponseBytes),
			}),
		},
	}, nil
}

func checkAddr(addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("address %q: use IP:port, no host name", addr)
	}
	return nil
}

// OutcomeError is the outcome of a request that was not answered.
type OutcomeError struct {
	Outcome callerapi.Outcome
}

// Error returns the outcome, its code and its message.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome.Outcome, e.Outcome.Code, e.Outcome.Message)
}

// RetryAfter returns the delay before a retry, or zero if the outcome has none.
func (e *OutcomeError) RetryAfter() time.Duration {
	return time.Duration(e.Outcome.RetryAfterMs.Or(0)) * time.Millisecond
}

func newOutcomeError(kind callerapi.OutcomeOutcome, code string, err error) *OutcomeError {
	return &OutcomeError{
		Outcome: callerapi.Outcome{
			Outcome: kind,
			Code:    code,
			Message: err.Error(),
		},
	}
}

// Resolve returns the addresses to use, best first.
func (c *Client) Resolve(ctx context.Context) (*callerapi.Resolution, error) {
	var resolution *callerapi.Resolution
	err := c.query(ctx, c.config.Addrs, func(client *callerapi.Client) error {
		params := callerapi.ResolveParams{
			Caller: c.config.Caller,
		}
		if c.config.DataCentre != "" {
			params.DataCentre = callerapi.NewOptString(c.config.DataCentre)
		}
		var err error
		resolution, err = client.Resolve(ctx, params)
		return err
	})
	if err != nil {
		return nil, err
	}
	for _, addr := range resolution.Addresses {
		if err := checkAddr(addr); err != nil {
			return nil, err
		}
	}
	return resolution, nil
}

// requestAddrs returns the addresses to send requests to.
func (c *Client) requestAddrs(ctx context.Context) ([]string, error) {
	if c.config.SkipResolve {
		return c.config.Addrs, nil
	}
	resolution, err := c.Resolve(ctx)
	if err != nil {
		return nil, err
	}
	return resolution.Addresses, nil
}

// IssueKey requests a new system-issued idempotency key.
func (c *Client) IssueKey(ctx context.Context) (*callerapi.IssuedKey, error) {
	addrs, err := c.requestAddrs(ctx)
	if err != nil {
		return nil, err
	}
	var key *callerapi.IssuedKey
	err = c.query(ctx, addrs, func(client *callerapi.Client) error {
		var err error
		key, err = client.IssueKey(ctx)
		return err
	})
	return key, err
}

// ShowKey returns the state of the request with a key. It runs nothing.
func (c *Client) ShowKey(ctx context.Context, workspace, key string) (*callerapi.KeyState, error) {
	addrs, err := c.requestAddrs(ctx)
	if err != nil {
		return nil, err
	}
	var state *callerapi.KeyState
	err = c.query(ctx, addrs, func(client *callerapi.Client) error {
		var err error
		state, err = client.ShowKey(ctx, callerapi.ShowKeyParams{
			Key:       key,
			Workspace: workspace,
		})
		return err
	})
	return state, err
}

// query calls the addresses in turn until a daemon responds that is neither starting
// nor draining.
func (c *Client) query(ctx context.Context, addrs []string, call func(*callerapi.Client) error) error {
	lastErr := errors.New("no address to query")
	for _, addr := range addrs {
		client, err := c.dial(addr)
		if err != nil {
			return err
		}
		err = call(client)
		var status *callerapi.OutcomeStatusCodeWithHeaders
		if err == nil {
			return nil
		}
		if errors.As(err, &status) {
			rejection := &OutcomeError{
				Outcome: status.Response,
			}
			if !mayTryNext(rejection, false) {
				return rejection
			}
			err = rejection
		}
		lastErr = err
		if ctx.Err() != nil {
			break
		}
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return newOutcomeError(callerapi.OutcomeOutcomeNotRun, string(outcome.CodeDeadlinePast), errors.New("the deadline passed before a daemon responded"))
	}
	var rejection *OutcomeError
	if errors.As(lastErr, &rejection) {
		return rejection
	}
	return newOutcomeError(callerapi.OutcomeOutcomeNotRun, codeUnreachable, lastErr)
}

func (c *Client) dial(addr string) (*callerapi.Client, error) {
	client, err := callerapi.NewClient("http://"+addr, callerapi.WithClient(c.http))
	if err != nil {
		return nil, fmt.Errorf("creating a client for %s: %w", addr, err)
	}
	return client, nil
}

// dialFailed reports whether the connection was never established.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
