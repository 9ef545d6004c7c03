package confsync_test

import (
	"context"
	"fmt"

	"sequoiafork/internal/confsync"
	"sequoiafork/internal/fold"
	"sequoiafork/internal/table"
)

func (p *scriptRunner) execute(ctx context.Context, s step) {
	d := p.cluster.daemons[s.Daemon]
	switch s.Op {
	case "edit":
		p.submit(ctx, d, p.newEdit(d, s.N))
	case "race":
		p.submit(ctx, d, p.newEdit(d, s.N))
		p.submit(ctx, p.cluster.daemons[(s.Daemon+1)%daemons], p.newEdit(d, s.N))
	case "repeat":
		if n := len(p.history); n > 0 {
			p.submit(ctx, d, p.history[n-1-s.N%n])
		}
	case "reuse":
		if n := len(p.history); n > 0 {
			other := p.newEdit(d, s.N)
			other.ID = p.history[n-1-s.N%n].ID
			p.submit(ctx, d, other)
		}
	case "delete":
		p.submit(ctx, d, p.newDeletion(d, s.N))
	case "publish":
		p.appendUnchecked(p.newEdit(d, s.N))
	case "fault":
		d.link.failNext([]string{appendLoseResponse, appendLate, appendNever, appendTwice}[s.N%4])
		p.submit(ctx, d, p.newEdit(d, s.N))
	case "log_down", "log_up":
		p.cluster.log.setDown(s.Op == "log_down")
	case "cut_log", "heal_log":
		d.link.setCut(s.Op == "cut_log")
	case "cut_peers", "heal_peers":
		d.setCutPeers(s.Op == "cut_peers")
	case "freeze", "thaw":
		d.link.setCut(s.Op == "freeze")
		d.setCutPeers(s.Op == "freeze")
	case "claim":
		p.claim(ctx, d, s.N)
	case "slow", "fast":
		d.link.setSlow(s.Op == "slow")
	case "restart":
		p.restart(d)
	case "lone_restart":
		d.setCutPeers(true)
		p.restart(d)
	case "expire":
		p.expire(s.N)
	case "damage":
		p.appendCorruptSnapshot(d, s.N)
	case "rubbish":
		for range s.N {
			p.cluster.log.add([]byte("rubbish"))
		}
	}
}

// newEdit returns an edit of a row, based on the state of a daemon. Some edits are stale
// or invalid.
func (p *scriptRunner) newEdit(d *daemon, n int) table.Edit {
	p.edits++
	pool := table.Pool{
		Name:        fmt.Sprintf("p%d", n%rows),
		Kind:        table.KindReranker,
		Service:     "rank",
		Concurrency: p.edits,
	}
	row, _ := d.process().machine.Tables().Pool(pool.Name)
	e := table.Edit{
		ID:           fmt.Sprintf("e%d", p.edits),
		BaseRevision: row.Revision,
	}
	switch {
	case n == 11:
		e.BaseRevision = row.Revision / 2
	case n == 12:
		pool.Concurrency = 0
	}
	e.Change = table.SetPool{
		Pool: pool,
	}
	return e
}

func (p *scriptRunner) newDeletion(d *daemon, n int) table.Edit {
	e := p.newEdit(d, n)
	name, _ := e.Target()
	e.Change = table.DeletePool{
		Name: name,
	}
	return e
}

// claim claims two keys for the process in one append, which may fail.
func (p *scriptRunner) claim(ctx context.Context, d *daemon, n int) {
	faults := []string{"", "", appendLoseResponse, appendLate, appendNever, appendTwice}
	d.link.failNext(faults[n%len(faults)])
	owner := d.process().name
	data, err := fold.EncodeClaims([]fold.Claim{
		{
			KeyHash: fold.KeyHash{byte(n % keys)},
			Owner:   owner,
		},
		{
			KeyHash: fold.KeyHash{byte((n + 1) % keys)},
			Owner:   owner,
		},
	})
	if err != nil {
		panic(err)
	}
	p.submits.Go(func() { _, _ = d.link.AppendEdit(ctx, data) })
}

// appendUnchecked appends an edit to the log without the checks of an editor.
func (p *scriptRunner) appendUnchecked(e table.Edit) {
	data, err := fold.EncodeEdit(e)
	if err != nil {
		panic(err)
	}
	p.cluster.log.add(data)
}

func toModel(e table.Edit) modelEdit {
	name, _ := e.Target()
	m := modelEdit{
		name: name,
	}
	switch c := e.Change.(type) {
	case table.SetPool:
		m.concurrency = int64(c.Pool.Concurrency)
	case table.DeletePool:
		m.deletes = true
	}
	return m
}

func (p *scriptRunner) submit(ctx context.Context, d *daemon, e table.Edit) {
	p.history = append(p.history, e)
	p.mu.Lock()
	p.submitCounts[e.ID]++
	p.mu.Unlock()
	editor := d.process().editor
	p.submits.Go(func() {
		result, err := editor.Submit(ctx, e)
		p.mu.Lock()
		defer p.mu.Unlock()
		p.responses = append(p.responses, submitResponse{
			id:     e.ID,
			edit:   toModel(e),
			result: result,
			err:    err,
		})
		if err == nil && result.State == confsync.Accepted {
			p.newlyAccepted = append(p.newlyAccepted, result.Revision)
		}
	})
}

// restart replaces a process, unless no other ready daemon has a state that the log's
// retained records continue.
func (p *scriptRunner) restart(d *daemon) {
	if !p.cluster.readyPeerHas(d, p.cluster.log.firstRetained()-1) {
		return
	}
	d.kill()
	p.edits++
	d.start(p.edits)
}

// expire drops all but the newest records, but no record that no daemon has read.
func (p *scriptRunner) expire(keep int) {
	applied := uint64(0)
	for _, d := range p.cluster.daemons {
		applied = max(applied, d.process().machine.NextOffset())
	}
	end := p.cluster.log.end()
	p.cluster.log.expire(min(applied, max(end, uint64(keep))-uint64(keep)))
}

// appendCorruptSnapshot appends a snapshot with one flipped bit.
func (p *scriptRunner) appendCorruptSnapshot(d *daemon, n int) {
	data, err := d.process().machine.Snapshot("damaged")
	if err != nil {
		panic(err)
	}
	data[(n*31+7)%len(data)] ^= 1 << (n % 8)
	p.cluster.log.add(data)
}
