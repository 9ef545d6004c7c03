// Package hostlist simulates the platform's host list, which lags behind the
// true set of hosts.
package hostlist

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/jx"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/unserved"
	"sequoiafork/internal/wire/platformapi"
	"sequoiafork/internal/wire/standinapi"
)

// List serves the hosts as they were one lag ago; the lag is an injected fault.
// It is safe for concurrent use; Control must be set before use.
type List struct {
	unserved.Platform

	// Control sets the hosts and the lag.
	Control *control.Control

	mu       sync.Mutex
	versions []version
}

type version struct {
	setAt time.Time
	hosts []platformapi.Host
}

var _ platformapi.Handler = (*List)(nil)

// Set replaces the true set of hosts.
func (l *List) Set(hosts []standinapi.Host) {
	v := version{
		setAt: time.Now(),
		hosts: make([]platformapi.Host, 0, len(hosts)),
	}
	for _, h := range hosts {
		v.hosts = append(v.hosts, platformapi.Host{
			Addr:       h.Addr,
			DataCentre: h.DataCentre,
			Service:    h.Service,
			State:      platformapi.HostState(h.State),
		})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.versions = append(l.versions, v)
}

// ReadHosts returns the hosts as they were one lag ago.
func (l *List) ReadHosts(context.Context) (*platformapi.HostList, error) {
	l.Control.Ledger.CountRead()
	cutoff := time.Now().Add(-l.Control.Faults.Lag())
	l.mu.Lock()
	defer l.mu.Unlock()
	list := &platformapi.HostList{
		Version: 0,
		Hosts:   []jx.Raw{},
	}
	var hosts []platformapi.Host
	for i, v := range l.versions {
		if v.setAt.After(cutoff) {
			break
		}
		list.Version = int64(i + 1)
		hosts = v.hosts
	}
	for _, h := range hosts {
		raw, err := h.MarshalJSON()
		if err != nil {
			return nil, err
		}
		list.Hosts = append(list.Hosts, raw)
	}
	return list, nil
}
