package membership

import (
	"sort"
	"time"
)

// Dump returns the table's state, to be encoded as JSON in a state dump.
func (t *Table) Dump() any {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := time.Now()
	d := tableDump{
		Self:   t.selfMember(),
		Digest: t.digest(),
	}
	for _, e := range t.members {
		d.Members = append(d.Members, e.Member)
	}
	for l := range t.links {
		d.Links = append(d.Links, linkDump{
			Peer:       l.peer,
			Dialed:     l.dialed,
			Chosen:     t.chosen[l.peer],
			SilentMs:   now.Sub(l.lastReceived).Milliseconds(),
			NextOffset: l.nextOffset,
		})
	}
	for addr, s := range t.upstreams.observations {
		d.Upstreams = append(d.Upstreams, upstreamDump{
			Addr:   addr,
			State:  s.state,
			Origin: s.origin,
			AgeMs:  now.Sub(s.observedAt).Milliseconds(),
		})
	}
	for addr := range t.seeds {
		d.Seeds = append(d.Seeds, addr)
	}
	d.sort()
	return d
}

type tableDump struct {
	Self      Member         `json:"self"`
	Digest    uint64         `json:"digest"`
	Members   []Member       `json:"members"`
	Links     []linkDump     `json:"links"`
	Upstreams []upstreamDump `json:"upstreams"`
	Seeds     []string       `json:"seeds"`
}

type linkDump struct {
	Peer       string `json:"peer"`
	Dialed     bool   `json:"dialed"`
	Chosen     bool   `json:"chosen"`
	SilentMs   int64  `json:"silent_ms"`
	NextOffset uint64 `json:"next_offset"`
}

type upstreamDump struct {
	Addr   string        `json:"addr"`
	State  UpstreamState `json:"state"`
	Origin string        `json:"origin"`
	AgeMs  int64         `json:"age_ms"`
}

func (d *tableDump) sort() {
	sort.Slice(d.Members, func(i, j int) bool {
		return d.Members[i].Incarnation < d.Members[j].Incarnation
	})
	sort.Slice(d.Links, func(i, j int) bool {
		return d.Links[i].Peer < d.Links[j].Peer
	})
	sort.Slice(d.Upstreams, func(i, j int) bool {
		return d.Upstreams[i].Addr < d.Upstreams[j].Addr
	})
	sort.Strings(d.Seeds)
}
