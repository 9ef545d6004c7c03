package membership

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/upstream"
	"sequoiafork/internal/wire/peerpb"
)

// network connects tables in memory. A cut path delays messages until it heals, as TCP
// retransmission does.
type network struct {
	mu    sync.Mutex
	hosts []*host
	cuts  map[[2]int]bool
	wg    sync.WaitGroup
	bytes int
	// messages and opened are the numbers of messages sent and connections opened.
	messages int
	opened   int
	// allSeeds gives each process the addresses of all others instead of two.
	allSeeds bool
	// fast gives the processes the times of an entry host.
	fast bool
}

// Conversions between the states of package upstream and the gossiped ones.
var (
	upstreamSetStates = map[UpstreamState]upstream.State{
		UpstreamLeaving: upstream.Leaving,
		UpstreamDead:    upstream.Dead,
	}
	gossipStates = map[upstream.State]UpstreamState{
		upstream.Live:    UpstreamLive,
		upstream.Leaving: UpstreamLeaving,
		upstream.Dead:    UpstreamDead,
	}
)

// host is one address and the process that runs on it, if any.
type host struct {
	net    *network
	id     int
	dc     string
	region string
	starts int
	proc   *process
	frozen bool
}

// process is one incarnation of a daemon.
type process struct {
	host           *host
	table          *Table
	conns          map[*pipeEnd]bool
	dials          map[string]bool
	stopped        bool
	upstreamStates map[string]UpstreamState
	notices        map[noticeKey]UpstreamNotice
	set            *upstream.Set
	closed         chan struct{}
}

// pipeEnd is one end of a connection; it sends to the process at the other end.
type pipeEnd struct {
	net    *network
	from   *process
	to     *process
	other  *pipeEnd
	link   *Link
	queue  chan delivery
	closed bool
}

type delivery struct {
	msg *peerpb.LinkMessage // nil ends the connection
	at  time.Time
}

const (
	// pipeQueue is how many messages one end of a connection buffers, as in package peer.
	pipeQueue = 256
	// frameBytes is what gRPC and HTTP/2 add to a message.
	frameBytes = 14
)

func (h *host) addr() string {
	return fmt.Sprintf("10.0.%d.%d:7000", h.id/250, h.id%250+1)
}

// setNotice records a notice that a process has received or been told.
func (n *network) setNotice(p *process, u UpstreamNotice) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p.notices[u.key()] = u
}

func (n *network) start(h *host) {
	h.starts++
	p := &process{
		host:           h,
		conns:          map[*pipeEnd]bool{},
		dials:          map[string]bool{},
		upstreamStates: map[string]UpstreamState{},
		notices:        map[noticeKey]UpstreamNotice{},
		closed:         make(chan struct{}),
	}
	seeds := []string{n.hosts[0].addr(), n.hosts[len(n.hosts)-1].addr()}
	if n.allSeeds {
		seeds = seeds[:0]
		for _, other := range n.hosts {
			seeds = append(seeds, other.addr())
		}
	}
	cfg := Config{
		Self: Member{
			Incarnation: fmt.Sprintf("%s/%d", h.addr(), h.starts),
			PeerAddr:    h.addr(),
			CallerAddr:  fmt.Sprintf("10.1.%d.%d:80", h.id/250, h.id%250+1),
			DataCentre:  h.region + "/" + h.dc,
		},
		Seeds:    seeds,
		RandSeed: uint64(h.id),
		OnUpstream: func(addr string, st UpstreamState) {
			n.mu.Lock()
			p.upstreamStates[addr] = st
			n.mu.Unlock()
			p.set.OverrideState(addr, upstreamSetStates[st], "reported by a peer")
		},
		OnNotice: func(u UpstreamNotice) { n.setNotice(p, u) },
	}
	if n.fast {
		cfg.HeartbeatInterval = 400 * time.Millisecond
		cfg.HeartbeatTimeout = 1600 * time.Millisecond
		cfg.UnreachableAfter = 2500 * time.Millisecond
		cfg.ProbeInterval = 500 * time.Millisecond
	}
	p.table = New(cfg)
	p.set = upstream.New(upstream.Config{
		Seed: uint64(h.id),
		OnStateChange: func(addr string, st upstream.State) {
			p.table.ReportUpstream(addr, gossipStates[st])
		},
	})
	n.mu.Lock()
	h.proc = p
	n.mu.Unlock()
	n.wg.Go(p.run)
}

// stop kills a process and closes its connections, as the kernel of its host does.
func (n *network) stop(h *host) {
	n.mu.Lock()
	p := h.proc
	h.proc = nil
	p.stopped = true
	close(p.closed)
	ends := make([]*pipeEnd, 0, len(p.conns))
	for e := range p.conns {
		ends = append(ends, e)
	}
	n.mu.Unlock()
	for _, e := range ends {
		e.Close()
	}
}

func (p *process) run() {
	step := time.NewTicker(250 * time.Millisecond)
	defer step.Stop()
	for {
		p.awaitThaw()
		p.table.tick(time.Now())
		for _, addr := range p.table.DialTargets() {
			p.host.net.dial(p, addr)
		}
		select {
		case <-p.closed:
			return
		case <-step.C:
		}
	}
}

func (p *process) awaitThaw() {
	n := p.host.net
	for n.locked(func() bool { return p.host.frozen && !p.stopped }) {
		time.Sleep(10 * time.Millisecond)
	}
}

// sent returns the bytes that all processes have sent.
func (n *network) sent() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bytes
}

func (n *network) locked(f func() bool) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return f()
}

// dial connects two processes after a round trip if the path is then open both ways. While
// the attempt is pending, another to the same address is ignored.
func (n *network) dial(p *process, addr string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	i := slices.IndexFunc(n.hosts, func(h *host) bool {
		return h.addr() == addr
	})
	if i < 0 || p.dials[addr] || n.hosts[i].proc == nil || n.hosts[i].frozen {
		return
	}
	q := n.hosts[i].proc
	p.dials[addr] = true
	n.wg.Go(func() {
		time.Sleep(2 * n.latency(p.host, q.host))
		if n.open(p.host, q.host) && n.open(q.host, p.host) {
			n.connect(p, q)
		}
		n.locked(func() bool {
			delete(p.dials, addr)
			return true
		})
	})
}

// connect connects two processes unless one has been stopped. The check and the entry into
// conns are one critical section, because stop closes only the connections in conns.
func (n *network) connect(p, q *process) {
	a := &pipeEnd{
		net:   n,
		from:  p,
		to:    q,
		queue: make(chan delivery, pipeQueue+1), // one place is for the end
	}
	b := &pipeEnd{
		net:   n,
		from:  q,
		to:    p,
		other: a,
		queue: make(chan delivery, pipeQueue+1), // one place is for the end
	}
	a.other = b
	registered := n.locked(func() bool {
		if p.stopped || q.stopped {
			return false
		}
		p.conns[a], q.conns[b] = true, true
		n.opened++
		return true
	})
	if !registered {
		return
	}
	a.link = p.table.OpenLink(a, true)
	b.link = q.table.OpenLink(b, false)
	n.wg.Go(a.deliver)
	n.wg.Go(b.deliver)
}

// Send queues a message for delivery after the latency of the path.
func (e *pipeEnd) Send(msg *peerpb.LinkMessage) bool {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	e.net.bytes += frameBytes + proto.Size(msg)
	e.net.messages++
	return !e.closed && len(e.queue) < pipeQueue && e.put(msg)
}

// Close closes this end of the connection. The other end is closed in order after the
// queued messages, as long as the path is open.
func (e *pipeEnd) Close() {
	e.net.mu.Lock()
	defer e.net.mu.Unlock()
	if !e.closed {
		e.closed = true
		delete(e.from.conns, e)
		e.put(nil)
	}
}

func (e *pipeEnd) put(msg *peerpb.LinkMessage) bool {
	select {
	case e.queue <- delivery{
		msg: msg,
		at:  time.Now().Add(e.net.latency(e.from.host, e.to.host)),
	}:
		return true
	default:
		return false
	}
}

// deliver hands messages to the other end in order until the connection is closed.
func (e *pipeEnd) deliver() {
	for d := range e.queue {
		time.Sleep(time.Until(d.at))
		for !e.net.open(e.from.host, e.to.host) || e.net.locked(func() bool { return e.to.host.frozen }) {
			if e.net.locked(func() bool { return e.closed && e.other.closed || e.to.stopped }) {
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
		if d.msg == nil {
			e.other.link.Close()
			return
		}
		e.other.link.Receive(d.msg)
	}
}

func (n *network) open(a, b *host) bool {
	return n.locked(func() bool {
		return !n.cuts[[2]int{a.id, b.id}]
	})
}

// latency returns the one-way latency within a data centre, within a region, or between
// regions.
func (n *network) latency(a, b *host) time.Duration {
	switch {
	case a.dc == b.dc:
		return 200 * time.Microsecond
	case a.region == b.region:
		return time.Millisecond
	}
	return 40 * time.Millisecond
}

// running returns the processes that run and are not frozen.
func (n *network) running() []*process {
	n.mu.Lock()
	defer n.mu.Unlock()
	var procs []*process
	for _, h := range n.hosts {
		if h.proc != nil && !h.frozen {
			procs = append(procs, h.proc)
		}
	}
	return procs
}
