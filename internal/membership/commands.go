package membership

import (
	"time"

	"sequoiafork/internal/wire/peerpb"
)

// maxSeeds limits the stored seed addresses; those added longest ago are dropped first.
const maxSeeds = 2048

// AddSeeds adds peer addresses (IP:port) through which members are found. Invalid
// addresses and this process's own are ignored.
func (t *Table) AddSeeds(addrs []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.selfMember().PeerAddr
	now := time.Now()
	for _, addr := range addrs {
		if addr != self && validAddr(addr) {
			t.seeds[addr] = now
		}
	}
	for len(t.seeds) > maxSeeds {
		oldest := ""
		for addr, at := range t.seeds {
			if oldest == "" || at.Before(t.seeds[oldest]) {
				oldest = addr
			}
		}
		delete(t.seeds, oldest)
	}
}

// SetLeaving announces that this process is draining and takes no new callers.
func (t *Table) SetLeaving() {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.selfMember()
	if self.State == Leaving {
		return
	}
	self = self.WithState(Leaving).WithVersion(self.Version + 1)
	t.put(self)
	t.flood([]*peerpb.Rumor{memberRumor(self)}, nil)
}

// SetTerm announces that this process is the owner of the stage work in a term.
func (t *Table) SetTerm(term uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	self := t.selfMember()
	self = self.WithTerm(term).WithVersion(self.Version + 1)
	t.put(self)
	t.flood([]*peerpb.Rumor{memberRumor(self)}, nil)
}

// SetProgress sets the next offset and the revision that this process has applied.
// A value lower than the current one is ignored.
func (t *Table) SetProgress(next, rev uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.members[t.self]
	if rev > e.Revision {
		t.heartbeatSoon = true
	}
	e.Member = e.WithProgress(max(e.NextOffset, next), max(e.Revision, rev))
}

// ReportUpstream gossips a state that this process itself has observed of an upstream.
// States that the others know already are not sent again, and the rate is limited.
func (t *Table) ReportUpstream(addr string, st UpstreamState) {
	if st < UpstreamLive || st > UpstreamSuspect {
		return
	}
	t.mu.Lock()
	now := time.Now()
	if p := t.upstreams.pending[addr]; p.state != st {
		t.upstreams.pending[addr] = pendingReport{
			state: st,
			due:   now.Add(t.reportDelay(st)),
		}
	}
	t.flushUpstreams(now)
	t.mu.Unlock()
	t.notify()
}
