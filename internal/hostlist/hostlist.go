// Package hostlist polls the platform's host list and reports its changes to a callback.
//
//	l, err := hostlist.New(hostlist.Config{Addr: addr, OnHosts: set.Replace})
//	err = l.Run(ctx)
package hostlist

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"time"
	"unicode/utf8"

	"go.uber.org/zap"

	"sequoiafork/internal/http1"
	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/upstream"
	"sequoiafork/internal/wire/platformapi"
)

// DaemonService is the service name of the daemons of this system in the host list, where
// they are listed by their peer addresses.
const DaemonService = "sequoiafork"

// Defaults of Config.
const (
	DefaultInterval       = 2 * time.Second
	DefaultTimeout        = 5 * time.Second
	DefaultBytesPerSecond = 2048
	DefaultMaxListBytes   = 8 << 20
	DefaultRetryDelay     = 30 * time.Second
)

// Config configures a Poller. Zero fields mean the defaults above.
type Config struct {
	// Addr is the IP:port of the host list.
	Addr string
	// Interval is the minimum time between two polls.
	Interval time.Duration
	// BytesPerSecond bounds the average rate at which polls receive body bytes: a long
	// list is read less often.
	BytesPerSecond int
	// MaxListBytes bounds the size of a list.
	MaxListBytes int64
	// RetryDelay bounds the time from a poll that fails to the next one, however much it
	// received. It is not less than Interval.
	RetryDelay time.Duration
	// Timeout bounds one poll.
	Timeout time.Duration
	// OnHosts is called with the complete list when its version has changed.
	OnHosts func(hosts []upstream.Host)
	// Logger may be nil.
	Logger *zap.Logger
}

// AddrError reports an address that is not IP:port.
type AddrError struct {
	Addr string
}

// Error returns a message with the address and an example of a valid one.
func (e *AddrError) Error() string {
	return fmt.Sprintf("hostlist: address %q is not IP:port, use one like 127.0.0.1:8070", e.Addr)
}

// Status is the outcome of the polls so far: the version, length and time of the list that
// was last read, and the error of the latest poll if it failed.
type Status struct {
	Version int64     `json:"version"`
	Hosts   int       `json:"hosts"`
	At      time.Time `json:"at"`
	Problem string    `json:"problem,omitempty"`
}

// Poller polls the host list. A poll that fails leaves the last list in effect.
type Poller struct {
	cfg       Config
	client    *platformapi.Client
	transport *countingTransport

	mu     sync.Mutex
	status Status
}

// New returns a poller that does nothing before Run. The error is an *AddrError if Addr is
// not IP:port.
func New(cfg Config) (*Poller, error) {
	if _, err := netip.ParseAddrPort(cfg.Addr); err != nil {
		return nil, &AddrError{
			Addr: cfg.Addr,
		}
	}
	cfg.Interval = cmp.Or(cfg.Interval, DefaultInterval)
	cfg.Timeout = cmp.Or(cfg.Timeout, DefaultTimeout)
	cfg.BytesPerSecond = cmp.Or(cfg.BytesPerSecond, DefaultBytesPerSecond)
	cfg.MaxListBytes = cmp.Or(cfg.MaxListBytes, DefaultMaxListBytes)
	cfg.RetryDelay = max(cmp.Or(cfg.RetryDelay, DefaultRetryDelay), cfg.Interval)
	if cfg.Logger == nil {
		cfg.Logger = zap.NewNop()
	}
	transport := &countingTransport{
		base: httplimit.New(httplimit.Config{
			Base: http1.New(http1.Config{
				Base: http.DefaultTransport.(*http.Transport).Clone(),
			}),
			MaxBodyBytes: cfg.MaxListBytes,
		}),
	}
	client, err := platformapi.NewClient("http://"+cfg.Addr, platformapi.WithClient(&http.Client{
		Timeout:   cfg.Timeout,
		Transport: transport,
	}))
	if err != nil {
		return nil, fmt.Errorf("hostlist: client for %s: %w", cfg.Addr, err)
	}
	return &Poller{
		cfg:       cfg,
		client:    client,
		transport: transport,
		status: Status{
			Version: -1,
		},
	}, nil
}

// Run polls until ctx is done.
func (l *Poller) Run(ctx context.Context) error {
	for {
		before := l.transport.bytes.Load()
		ok := l.poll(ctx)
		delay := l.pollDelay(l.transport.bytes.Load() - before)
		if !ok {
			delay = min(delay, l.cfg.RetryDelay)
		}
		timer := time.NewTimer(delay)
		select {
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		case <-timer.C:
		}
	}
}

// pollDelay returns the time from the end of a poll that received some bytes to the next
// poll. It varies randomly by up to 5 % either way, so that daemons that started at the
// same time don't keep polling at the same time.
func (l *Poller) pollDelay(received int64) time.Duration {
	d := time.Duration(received) * time.Second / time.Duration(l.cfg.BytesPerSecond)
	d = max(d, l.cfg.Interval)
	return d - d/20 + rand.N(d/10+1)
}

// poll reads the list once and reports whether that succeeded.
func (l *Poller) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, l.cfg.Timeout)
	defer cancel()
	list, err := l.client.ReadHosts(ctx)
	if err != nil {
		l.recordFailure(err)
		return false
	}
	hosts := convertHosts(list)
	if l.recordSuccess(list.Version, len(hosts)) && l.cfg.OnHosts != nil {
		l.cfg.OnHosts(hosts)
	}
	return true
}

// recordFailure records the error of a poll, and logs it if the poll before succeeded.
func (l *Poller) recordFailure(err error) {
	l.mu.Lock()
	first := l.status.Problem == ""
	l.status.Problem = err.Error()
	l.mu.Unlock()
	if first {
		l.cfg.Logger.Warn("reading the host list failed, keeping the last one", zap.Error(err))
	}
}

// recordSuccess records a poll that succeeded, and reports whether the version of the list
// differs from that of the last list.
func (l *Poller) recordSuccess(version int64, hosts int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := version != l.status.Version
	l.status = Status{
		Version: version,
		Hosts:   hosts,
		At:      time.Now(),
	}
	return changed
}

// Status returns the outcome of the polls so far.
func (l *Poller) Status() Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.status
}

// convertHosts returns the hosts of a list without the entries that name none: one of another writer must not keep the
// others from being used.
func convertHosts(list *platformapi.HostList) []upstream.Host {
	hosts := make([]upstream.Host, 0, len(list.Hosts))
	for _, raw := range list.Hosts {
		var h platformapi.Host
		if err := h.UnmarshalJSON(raw); err != nil || upstream.CheckAddr(h.Addr) != nil || h.Service == "" || !isName(h.DataCentre) || !isName(h.Service) {
			continue
		}
		host := upstream.Host{
			Addr:       h.Addr,
			DataCentre: h.DataCentre,
			Service:    h.Service,
		}
		switch h.State {
		case platformapi.HostStateLive:
			host.State = upstream.Live
		case platformapi.HostStateLeaving:
			host.State = upstream.Leaving
		default:
			continue
		}
		hosts = append(hosts, host)
	}
	return hosts
}

// maxNameBytes bounds the names of data centres and services.
const maxNameBytes = 256

// isName reports whether a text can be the name of a data centre or a service. Names go to peers in messages that hold
// only valid text.
func isName(text string) bool {
	return len(text) <= maxNameBytes && utf8.ValidString(text)
}

// Seeds returns the peer addresses of the daemons on the list.
func Seeds(hosts []upstream.Host) []string {
	var addrs []string
	for _, h := range hosts {
		if h.Service == DaemonService {
			addrs = append(addrs, h.Addr)
		}
	}
	return addrs
}
