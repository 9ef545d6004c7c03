// Package logservice is a client of the platform's append-only log.
//
//	c, err := logservice.New(logservice.Config{
//		Addr:   "127.0.0.1:7000",
//		Stream: "sequoiafork",
//	})
//	offset, err := c.Append(ctx, data)
package logservice

import (
	"cmp"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/time/rate"

	"sequoiafork/internal/http1"
	"sequoiafork/internal/httplimit"
	"sequoiafork/internal/wire/platformapi"
)

// Defaults of Config and Read.
const (
	DefaultTimeout          = 5 * time.Second
	DefaultAppendsPerSecond = 30
	// DefaultMaxRecords is the maximum number of records of one read.
	DefaultMaxRecords = 500
	// DefaultMaxResponseBytes bounds a response, such as the records of one read.
	DefaultMaxResponseBytes = 64 << 20
)

// Config configures a Client.
type Config struct {
	// Addr is the log service's IP and port.
	Addr   string
	Stream string
	// Timeout bounds one call, in addition to the time that a read waits for records.
	// Zero means DefaultTimeout.
	Timeout time.Duration
	// AppendsPerSecond limits the rate of appends other than operators' edits. Zero
	// means DefaultAppendsPerSecond.
	AppendsPerSecond float64
	// MaxResponseBytes bounds the body of a response. Zero means DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// Metrics receives the counters. Nil means the default set.
	Metrics *metrics.Set
}

// Client calls the log service. It is safe for concurrent use.
type Client struct {
	stream   string
	timeout  time.Duration
	api      *platformapi.Client
	limiter  *rate.Limiter
	counters counters
}

// New returns a client. It does not connect to the service.
func New(c Config) (*Client, error) {
	if _, err := netip.ParseAddrPort(c.Addr); err != nil {
		return nil, fmt.Errorf("log service address %q is not an IP and port: use the form 10.0.0.1:7000", c.Addr)
	}
	if c.Stream == "" {
		return nil, fmt.Errorf("log stream is empty: name the stream that holds routes and pools")
	}
	c.Timeout = cmp.Or(c.Timeout, DefaultTimeout)
	c.AppendsPerSecond = cmp.Or(c.AppendsPerSecond, DefaultAppendsPerSecond)
	c.MaxResponseBytes = cmp.Or(c.MaxResponseBytes, DefaultMaxResponseBytes)
	if c.Metrics == nil {
		c.Metrics = metrics.GetDefaultSet()
	}
	api, err := platformapi.NewClient("http://"+c.Addr, platformapi.WithClient(&http.Client{
		Transport: httplimit.New(httplimit.Config{
			Base: http1.New(http1.Config{
				Base: &http.Transport{
					DisableCompression:     true,
					IdleConnTimeout:        time.Minute,
					MaxResponseHeaderBytes: httplimit.MaxHeadBytes,
				},
			}),
			MaxBodyBytes: c.MaxResponseBytes,
		}),
	}))
	if err != nil {
		return nil, fmt.Errorf("log service client for %s: %w", c.Addr, err)
	}
	return &Client{
		stream:   c.Stream,
		timeout:  c.Timeout,
		api:      api,
		limiter:  rate.NewLimiter(rate.Limit(c.AppendsPerSecond), max(1, int(c.AppendsPerSecond))),
		counters: newCounters(c.Metrics),
	}, nil
}

type counters struct {
	system   *metrics.Counter
	operator *metrics.Counter
	refused  *metrics.Counter
	unknown  *metrics.Counter
	reads    *metrics.Counter
}

func newCounters(s *metrics.Set) counters {
	return counters{
		system:   s.GetOrCreateCounter(`sequoiafork_log_appends_total{origin="system"}`),
		operator: s.GetOrCreateCounter(`sequoiafork_log_appends_total{origin="operator"}`),
		refused:  s.GetOrCreateCounter(`sequoiafork_log_appends_refused_total`),
		unknown:  s.GetOrCreateCounter(`sequoiafork_log_appends_unknown_total`),
		reads:    s.GetOrCreateCounter(`sequoiafork_log_reads_total`),
	}
}
