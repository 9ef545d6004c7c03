// Package upstreamhttp is an HTTP/1.1 client for upstreams that reuses connections, with
// one request at a time on each. It reports whether the upstream may have received a
// failed request, never retries one, and never returns the response to another request.
package upstreamhttp

import (
	"cmp"
	"context"
	"net"
	"sync"
	"time"

	"sequoiafork/internal/http1"
	"sequoiafork/internal/tcp"
)

// Defaults of Config.
const (
	// DefaultDialTimeout covers several round trips within a region.
	DefaultDialTimeout = 400 * time.Millisecond
	// DefaultUnackedTimeout is how long written bytes and keep-alive probes may stay
	// unacknowledged. A healthy host may pause for a second or two.
	DefaultUnackedTimeout = 3 * time.Second
	// DefaultIdleTimeout is the idle timeout of connections whose upstream sends none in
	// a Keep-Alive header.
	DefaultIdleTimeout = 4 * time.Second
)

const (
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the TCP keep-alive
	// probes that detect an unresponsive upstream within DefaultUnackedTimeout.
	keepAliveIdle     = time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 4
	// idempotentIdleFraction and nonIdempotentIdleFraction are the fractions of an
	// upstream's idle timeout during which an idle connection is reused for a request
	// that is idempotent and for one that is not.
	idempotentIdleFraction    = 0.8
	nonIdempotentIdleFraction = 0.4
)

// Config configures a Pool. Zero fields mean the defaults.
type Config struct {
	DialTimeout    time.Duration
	UnackedTimeout time.Duration
	IdleTimeout    time.Duration
	// OnDial is called for each new connection.
	OnDial func(peer Endpoint)
	// TakesWork reports whether a peer still takes new work. It is asked when a new connection has been opened for a
	// request that is new work, since that takes up to DialTimeout. Nil means that all do.
	TakesWork func(peer Endpoint) bool
}

// Endpoint is one process at an address. A connection to a process is never reused for
// another process that has the same address later. An incarnation is one run of a
// process; a restart is a new incarnation.
type Endpoint struct {
	Addr        string
	Incarnation string
}

// Pool sends requests and keeps idle connections for reuse. It is safe for concurrent use.
type Pool struct {
	cfg Config

	mu   sync.Mutex
	idle map[Endpoint][]*conn
}

// New returns a pool.
func New(cfg Config) *Pool {
	cfg.DialTimeout = cmp.Or(cfg.DialTimeout, DefaultDialTimeout)
	cfg.UnackedTimeout = cmp.Or(cfg.UnackedTimeout, DefaultUnackedTimeout)
	cfg.IdleTimeout = cmp.Or(cfg.IdleTimeout, DefaultIdleTimeout)
	return &Pool{
		cfg:  cfg,
		idle: make(map[Endpoint][]*conn),
	}
}

// CloseIdle closes the idle connections to an endpoint.
func (p *Pool) CloseIdle(endpoint Endpoint) {
	p.mu.Lock()
	list := p.idle[endpoint]
	delete(p.idle, endpoint)
	p.mu.Unlock()
	for _, c := range list {
		c.close()
	}
}

// acquire returns an idle connection that is still usable for req, or else a new one.
func (p *Pool) acquire(ctx context.Context, endpoint Endpoint, req Request) (*conn, error) {
	for {
		c := p.popIdle(endpoint)
		if c == nil {
			return p.dial(ctx, endpoint)
		}
		if c.usable(time.Now(), req.Retryable) && !c.mayRepeat(req) {
			return c, nil
		}
		c.close()
	}
}

// popIdle removes and returns the connection to endpoint that became idle last, or nil.
func (p *Pool) popIdle(endpoint Endpoint) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[endpoint]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[endpoint] = list[:len(list)-1]
	return c
}

// release makes c available for reuse.
func (p *Pool) release(c *conn) {
	c.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle[c.endpoint] = append(p.idle[c.endpoint], c)
}

func (p *Pool) dial(ctx context.Context, endpoint Endpoint) (*conn, error) {
	d := net.Dialer{
		Timeout: p.cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     keepAliveIdle,
			Interval: keepAliveInterval,
			Count:    keepAliveCount,
		},
		Control: tcp.UserTimeoutControl(p.cfg.UnackedTimeout),
	}
	nc, err := d.DialContext(ctx, "tcp", endpoint.Addr)
	if err != nil {
		return nil, err
	}
	if p.cfg.OnDial != nil {
		p.cfg.OnDial(endpoint)
	}
	return newConn(http1.NewConn(nc), endpoint, p.cfg.IdleTimeout), nil
}

// CloseExpired closes connections that have been idle for too long to be reused. Call it
// periodically.
func (p *Pool) CloseExpired() {
	now := time.Now()
	var expired []*conn
	p.mu.Lock()
	for endpoint, list := range p.idle {
		remaining := list[:0]
		for _, c := range list {
			if c.idleWithin(now, idempotentIdleFraction) {
				remaining = append(remaining, c)
			} else {
				expired = append(expired, c)
			}
		}
		p.idle[endpoint] = remaining
		if len(remaining) == 0 {
			delete(p.idle, endpoint)
		}
	}
	p.mu.Unlock()
	for _, c := range expired {
		c.close()
	}
}
