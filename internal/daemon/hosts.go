package daemon

import (
	"context"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/hostlist"
	"sequoiafork/internal/membership"
	"sequoiafork/internal/upstream"
	"sequoiafork/internal/wire/operatorapi"
	"sequoiafork/internal/wire/peerpb"
)

// onHosts applies a new host list: it replaces the set of upstreams and adds the daemons
// to the seeds of the membership protocol.
func (d *Daemon) onHosts(list []upstream.Host) {
	var upstreams []upstream.Host
	var seeds []string
	for _, h := range list {
		if h.Service == hostlist.DaemonService {
			seeds = append(seeds, h.Addr)
			continue
		}
		upstreams = append(upstreams, h)
	}
	d.members.AddSeeds(seeds)
	d.upstreams.Replace(upstreams)
}

// onUpstreamStateChange reports to peers that this daemon observed a state change of an
// upstream.
func (d *Daemon) onUpstreamStateChange(addr string, st upstream.State) {
	switch st {
	case upstream.Leaving:
		d.members.ReportUpstream(addr, membership.UpstreamLeaving)
	case upstream.Dead:
		d.members.ReportUpstream(addr, membership.UpstreamDead)
	case upstream.Suspect:
		d.members.ReportUpstream(addr, membership.UpstreamSuspect)
	case upstream.Live:
		d.members.ReportUpstream(addr, membership.UpstreamLive)
	}
}

// onUpstreamRumor overrides the state of an upstream with one that a peer reported.
func (d *Daemon) onUpstreamRumor(addr string, st membership.UpstreamState) {
	const reason = "seen by a peer"
	switch st {
	case membership.UpstreamLeaving:
		d.upstreams.OverrideState(addr, upstream.Leaving, reason)
	case membership.UpstreamDead:
		d.upstreams.OverrideState(addr, upstream.Dead, reason)
	case membership.UpstreamSuspect:
		d.upstreams.OverrideState(addr, upstream.Suspect, reason)
	case membership.UpstreamLive, membership.UpstreamUnknown:
		d.upstreams.OverrideState(addr, upstream.Live, reason)
	}
}

// publish sends records that were read from the log to peers.
func (d *Daemon) publish(records []*peerpb.LogRecord) {
	d.node.Publish(records)
}

// peerCatchUp requests from peers the records that this daemon lacks.
type peerCatchUp struct {
	daemon *Daemon
}

// CatchUp implements confsync.Peers.
func (p peerCatchUp) CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	return p.daemon.node.CatchUp(ctx, from)
}

// peerRecords serves the log records of this daemon to peers and receives theirs.
type peerRecords struct {
	syncer *confsync.Syncer
}

// NextOffset implements peer.LogReplica.
func (p peerRecords) NextOffset() uint64 {
	return p.syncer.NextOffset()
}

// CatchUp implements peer.LogReplica.
func (p peerRecords) CatchUp(ctx context.Context, from uint64) (*peerpb.CatchUpResponse, error) {
	return p.syncer.CatchUp(ctx, from)
}

// Deliver implements peer.LogReplica.
func (p peerRecords) Deliver(records []*peerpb.LogRecord) {
	p.syncer.Deliver(records)
}

// hosts lists daemons and upstreams for the operator API.
type hosts struct {
	daemon *Daemon
}

// Daemons implements operatorhttp.Hosts.
func (h hosts) Daemons() []operatorapi.Daemon {
	members := h.daemon.members.Members()
	list := make([]operatorapi.Daemon, len(members))
	for i, m := range members {
		list[i] = operatorapi.Daemon{
			Incarnation:  m.Incarnation,
			DataCentre:   m.DataCentre,
			CallerAddr:   m.CallerAddr,
			OperatorAddr: operatorapi.NewOptString(m.OperatorAddr),
			State:        m.State.String(),
			Revision:     int64(m.Revision),
		}
	}
	return list
}

// Upstreams implements operatorhttp.Hosts.
func (h hosts) Upstreams() []operatorapi.Upstream {
	all := h.daemon.upstreams.Upstreams()
	list := make([]operatorapi.Upstream, len(all))
	for i, u := range all {
		list[i] = operatorapi.Upstream{
			Addr:       u.Addr,
			Service:    u.Service,
			DataCentre: u.DataCentre,
			State:      u.State.String(),
			InFlight:   operatorapi.NewOptInt(u.InFlight),
			Reason:     operatorapi.NewOptString(u.Reason),
		}
	}
	return list
}
