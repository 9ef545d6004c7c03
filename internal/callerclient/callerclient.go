// Package callerclient is a caller of the system: it asks which addresses to use,
// connects there itself, and keeps one deadline over all of it.
//
//	client, err := callerclient.New(callerclient.Config{Addrs: addrs, Caller: "desk-1"})
//	answer, err := client.Call(ctx, callerclient.Request{Route: "answer", Workspace: "desk", Input: "..."})
package callerclient

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"sequoiafork/internal/outcome"
	"sequoiafork/internal/wire/callerapi"
)

// Config says where to begin.
type Config struct {
	// Addrs are callers' addresses, IP:port, of one or more daemons. They are
	// asked which addresses to use.
	Addrs []string
	// Caller names this caller; callers are spread over the hosts by it.
	Caller string
	// DataCentre is where this caller is. Empty: not known.
	DataCentre string
	// SkipResolve uses Addrs themselves and asks nobody.
	SkipResolve bool
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	config Config
	http   *http.Client
}

// New returns a client. Host names are refused.
func New(config Config) (*Client, error) {
	if len(config.Addrs) == 0 {
		return nil, errors.New("no callers' address is given")
	}
	for _, addr := range config.Addrs {
		if err := checkAddr(addr); err != nil {
			return nil, err
		}
	}
	return &Client{
		config: config,
		http: &http.Client{
			// A reused connection could send a request twice on its own.
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}, nil
}

func checkAddr(addr string) error {
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return fmt.Errorf("address %q: use IP:port, no host name", addr)
	}
	return nil
}

// OutcomeError is a request that was not answered, with what is known of it.
type OutcomeError struct {
	Outcome callerapi.Outcome
}

// Error returns the outcome, its code and its message.
func (e *OutcomeError) Error() string {
	return fmt.Sprintf("%s: %s: %s", e.Outcome.Outcome, e.Outcome.Code, e.Outcome.Message)
}

// RetryAfter returns when to come back, or zero.
func (e *OutcomeError) RetryAfter() time.Duration {
	return time.Duration(e.Outcome.RetryAfterMs.Or(0)) * time.Millisecond
}

func outcomeError(kind callerapi.OutcomeOutcome, code string, err error) *OutcomeError {
	return &OutcomeError{
		Outcome: callerapi.Outcome{
			Outcome: kind,
			Code:    code,
			Message: err.Error(),
		},
	}
}

// Resolve asks which addresses to use, best first.
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

// addrs returns where to send requests.
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

// IssueKey asks for a key that runs at most once.
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

// ShowKey asks what became of the request with a key. It runs nothing.
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

// query asks the addresses in turn until one answers that neither starts nor stops.
func (c *Client) query(ctx context.Context, addrs []string, call func(*callerapi.Client) error) error {
	lastErr := errors.New("no address to ask")
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
		return outcomeError(callerapi.OutcomeOutcomeNotRun, string(outcome.CodeDeadlinePast), errors.New("the deadline passed before a daemon answered"))
	}
	var rejection *OutcomeError
	if errors.As(lastErr, &rejection) {
		return rejection
	}
	return outcomeError(callerapi.OutcomeOutcomeNotRun, codeUnreachable, lastErr)
}

func (c *Client) dial(addr string) (*callerapi.Client, error) {
	client, err := callerapi.NewClient("http://"+addr, callerapi.WithClient(c.http))
	if err != nil {
		return nil, fmt.Errorf("client of %s: %w", addr, err)
	}
	return client, nil
}

// notSent reports whether the connection was never made.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
