package fold

import (
	"fmt"
	"time"

	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/recordpb"
)

func routeToProto(r table.Route) *recordpb.Route {
	stages := make([]*recordpb.Stage, 0, len(r.Stages))
	for _, s := range r.Stages {
		stages = append(stages, &recordpb.Stage{
			Name:          s.Name,
			Pool:          s.Pool,
			NotRepeatable: s.NonIdempotent,
			Reusable:      s.Cacheable,
			TimeoutMs:     s.Timeout.Milliseconds(),
			Model:         s.Model,
			MaxTokens:     int64(s.MaxTokens),
		})
	}
	return &recordpb.Route{
		Name:       r.Name,
		Stages:     stages,
		DeadlineMs: r.Deadline.Milliseconds(),
	}
}

func routeFromProto(name string, r *recordpb.Route) table.Route {
	stages := make([]table.Stage, 0, len(r.GetStages()))
	for _, s := range r.GetStages() {
		stages = append(stages, table.Stage{
			Name:          s.GetName(),
			Pool:          s.GetPool(),
			NonIdempotent: s.GetNotRepeatable(),
			Cacheable:     s.GetReusable(),
			Timeout:       clampedDuration(s.GetTimeoutMs()),
			Model:         s.GetModel(),
			MaxTokens:     int(s.GetMaxTokens()),
		})
	}
	return table.Route{
		Name:     name,
		Stages:   stages,
		Deadline: clampedDuration(r.GetDeadlineMs()),
	}
}

func poolToProto(p table.Pool) *recordpb.Pool {
	shares := make([]*recordpb.Share, 0, len(p.Shares))
	for _, s := range p.Shares {
		shares = append(shares, &recordpb.Share{
			Workspace: s.Workspace,
			Weight:    int64(s.Weight),
		})
	}
	return &recordpb.Pool{
		Name:          p.Name,
		Kind:          recordpb.PoolKind(p.Kind),
		Service:       p.Service,
		Concurrency:   int64(p.Concurrency),
		Shares:        shares,
		Models:        p.Models,
		ChecksFencing: p.ChecksFencing,
	}
}

func poolFromProto(name string, p *recordpb.Pool) table.Pool {
	var shares []table.Share
	for _, s := range p.GetShares() {
		shares = append(shares, table.Share{
			Workspace: s.GetWorkspace(),
			Weight:    int(s.GetWeight()),
		})
	}
	return table.Pool{
		Name:          name,
		Kind:          table.PoolKind(p.GetKind()),
		Service:       p.GetService(),
		Concurrency:   int(p.GetConcurrency()),
		Shares:        shares,
		Models:        p.GetModels(),
		ChecksFencing: p.GetChecksFencing(),
	}
}

// maxDurationMs bounds durations from the log: larger ones could overflow
// time.Duration. It is above every valid timeout, deadline and TTL.
const maxDurationMs = int64(24 * time.Hour / time.Millisecond)

// clampedDuration converts milliseconds to a duration of at most maxDurationMs, positive
// or negative.
func clampedDuration(ms int64) time.Duration {
	return time.Duration(min(max(ms, -maxDurationMs), maxDurationMs)) * time.Millisecond
}

func editFromProto(e *recordpb.Edit) (table.Edit, error) {
	edit := table.Edit{
		ID:           e.GetEditId(),
		Author:       e.GetAuthor(),
		BaseRevision: e.GetBaseRevision(),
	}
	switch e.GetTable() {
	case recordpb.Table_TABLE_ROUTES:
		edit.Change = table.SetRoute{
			Route: routeFromProto(e.GetName(), e.GetRoute()),
		}
		if e.GetDelete() {
			edit.Change = table.DeleteRoute{
				Name: e.GetName(),
			}
		}
	case recordpb.Table_TABLE_POOLS:
		edit.Change = table.SetPool{
			Pool: poolFromProto(e.GetName(), e.GetPool()),
		}
		if e.GetDelete() {
			edit.Change = table.DeletePool{
				Name: e.GetName(),
			}
		}
	default:
		return table.Edit{}, fmt.Errorf("edit %q has unknown table %d", e.GetEditId(), e.GetTable())
	}
	return edit, nil
}

// changeToProto returns the change of an edit, without its ID, author and base revision.
func changeToProto(e table.Edit) *recordpb.Edit {
	switch c := e.Change.(type) {
	case table.SetRoute:
		return &recordpb.Edit{
			Table: recordpb.Table_TABLE_ROUTES,
			Name:  c.Route.Name,
			Route: routeToProto(c.Route),
		}
	case table.SetPool:
		return &recordpb.Edit{
			Table: recordpb.Table_TABLE_POOLS,
			Name:  c.Pool.Name,
			Pool:  poolToProto(c.Pool),
		}
	case table.DeleteRoute:
		return &recordpb.Edit{
			Table:  recordpb.Table_TABLE_ROUTES,
			Name:   c.Name,
			Delete: true,
		}
	case table.DeletePool:
		return &recordpb.Edit{
			Table:  recordpb.Table_TABLE_POOLS,
			Name:   c.Name,
			Delete: true,
		}
	}
	return &recordpb.Edit{}
}

func outcomeToProto(o EditOutcome) *recordpb.EditOutcome {
	return &recordpb.EditOutcome{
		EditId:       o.ID,
		Offset:       o.Offset,
		Accepted:     o.Accepted,
		Conflict:     o.Conflict,
		Reason:       o.Reason,
		Table:        tableToProto(o.IsPool),
		Name:         o.RowName,
		TimeMs:       o.TimeMs,
		ChangeDigest: o.change[:],
	}
}

func outcomeFromProto(o *recordpb.EditOutcome) EditOutcome {
	outcome := EditOutcome{
		ID:       o.GetEditId(),
		Offset:   o.GetOffset(),
		Accepted: o.GetAccepted(),
		Conflict: o.GetConflict(),
		Reason:   o.GetReason(),
		RowName:  o.GetName(),
		IsPool:   o.GetTable() == recordpb.Table_TABLE_POOLS,
		TimeMs:   o.GetTimeMs(),
	}
	copy(outcome.change[:], o.GetChangeDigest())
	return outcome
}

func tableToProto(isPool bool) recordpb.Table {
	if isPool {
		return recordpb.Table_TABLE_POOLS
	}
	return recordpb.Table_TABLE_ROUTES
}

func leaseToProto(l Lease) *recordpb.Lease {
	return &recordpb.Lease{
		Name:      l.Name,
		Holder:    l.Holder,
		Fencing:   l.FencingToken,
		ExpiresMs: l.Expires.UnixMilli(),
	}
}

func leaseFromProto(l *recordpb.Lease) Lease {
	return Lease{
		Name:         l.GetName(),
		Holder:       l.GetHolder(),
		FencingToken: l.GetFencing(),
		Expires:      time.UnixMilli(l.GetExpiresMs()),
	}
}

func claimToProto(c *Claim) *recordpb.Claim {
	return &recordpb.Claim{
		Key:    c.KeyHash[:],
		Body:   c.RequestHash[:],
		Owner:  c.Owner,
		TimeMs: c.TimeMs,
		Offset: c.Offset,
	}
}

// claimFromProto reports false for a claim without an owner or with a hash of the wrong
// length.
func claimFromProto(c *recordpb.Claim) (Claim, bool) {
	claim := Claim{
		Owner:  c.GetOwner(),
		TimeMs: c.GetTimeMs(),
		Offset: c.GetOffset(),
	}
	valid := len(c.GetKey()) == len(claim.KeyHash) && len(c.GetBody()) == len(claim.RequestHash) && claim.Owner != ""
	copy(claim.KeyHash[:], c.GetKey())
	copy(claim.RequestHash[:], c.GetBody())
	return claim, valid
}

func rowToProto[T any](row table.Row[T]) *recordpb.Row {
	p := &recordpb.Row{
		Revision: row.Revision,
	}
	switch v := any(row.Value).(type) {
	case table.Route:
		p.Table, p.Name, p.Route = recordpb.Table_TABLE_ROUTES, v.Name, routeToProto(v)
	case table.Pool:
		p.Table, p.Name, p.Pool = recordpb.Table_TABLE_POOLS, v.Name, poolToProto(v)
	}
	return p
}
