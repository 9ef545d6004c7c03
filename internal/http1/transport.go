package http1

import (
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
)

// Config configures a Transport.
type Config struct {
	// Base makes the exchanges. It is required, must not have been used and must not be used otherwise: its DialContext is
	// replaced by one that returns a Conn.
	Base *http.Transport
}

// Transport makes exchanges over HTTP/1.1. A connection serves no request after a failure, since nothing tells a second
// copy of it from the response to the next request. It is safe for concurrent use.
type Transport struct {
	base *http.Transport
}

// New returns a Transport.
func New(cfg Config) *Transport {
	dial := cfg.Base.DialContext
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	cfg.Base.DialContext = func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
	return &Transport{
		base: cfg.Base,
	}
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(req *http.Request) (*http.Response, error) {
	ctx := httptrace.WithClientTrace(req.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(*Conn); ok {
				c.beginUnmatched()
			}
		},
	})
	return t.base.RoundTrip(req.WithContext(ctx))
}

// CloseIdleConnections closes the connections that no request uses, as http.Client.CloseIdleConnections does.
func (t *Transport) CloseIdleConnections() { t.base.CloseIdleConnections() }
