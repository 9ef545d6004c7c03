// Package stageowner decides which daemon owns the stage work.
//
// It answers the load of all stage work of a deployment on one daemon: the owner must be on a host that bears it, all
// daemons must agree on it from what each knows of the others, and it must not move in a rolling restart more often than
// the owner itself is restarted. Two owners at once waste work and violate nothing.
//
//	owner := stageowner.Choose(stageowner.View{Self: self, Members: members, Running: sinceStart})
package stageowner

import (
	"time"

	"sequoiafork/internal/hostcapacity"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/membership"
)

const (
	// JoinPeriod is how long after its start a daemon does not acquire ownership, so that it
	// has learned of all daemons first: 35 that start together need 1.1 s on the users'
	// machines.
	JoinPeriod = 2 * time.Second
	// startGroupMillis is the length in milliseconds of the periods by which start times
	// are compared: daemons that start in the same period count as started together.
	startGroupMillis = 5000
)

// Address is the address of a daemon, alive or not, with the capacity of its host, if that is known.
type Address struct {
	Addr     string
	Capacity hostcapacity.Capacity
}

// Addresses returns addresses with unknown capacities.
func Addresses(addrs []string) []Address {
	list := make([]Address, len(addrs))
	for i, addr := range addrs {
		list[i].Addr = addr
	}
	return list
}

// View is what a daemon knows when it chooses the owner. Avoided must not be nil.
type View struct {
	// Self is this daemon, which has been running for Running.
	Self    membership.Member
	Running time.Duration
	// Members are the daemons, and Addresses the addresses at which there may be daemons.
	Members   []membership.Member
	Addresses []Address
	// Avoided reports whether a member, named by its incarnation or its address, is not to be used as owner now.
	Avoided func(name string) bool
}

// Choose returns the owner. Among the daemons that are alive and know the routes, it is the first by First. During its
// own JoinPeriod a daemon may not have learned of the others yet. It then takes the first of the known addresses, so
// that daemons that start together agree, unless it knows a daemon that has been running for longer. It does the same
// as long as it knows no daemon that knows the routes.
func Choose(v View) membership.Member {
	var candidates []membership.Member
	older := false
	for _, m := range v.Members {
		if !Eligible(m) || v.Avoided(m.Incarnation) {
			continue
		}
		candidates = append(candidates, m)
		// Versions count up from the start time of the incarnation in Unix milliseconds.
		older = older || m.Version+uint64(JoinPeriod.Milliseconds()) < v.Self.Version
	}
	owner, found := First(candidates, membership.LargestHost(v.Members))
	joining := owner.Term == 0 && !older && v.Running < JoinPeriod
	if joining || !found {
		return v.firstByAddress()
	}
	return owner
}

// Eligible reports whether a member may own the stage work: it is alive and knows the routes.
func Eligible(m membership.Member) bool { return m.State == membership.Alive && m.Revision > 0 }

// First returns the first of the candidates, and false if there is none. It is one on a host of the largest class, of
// those the one with the highest term or, while none has acquired ownership, the one that is to acquire it.
func First(candidates []membership.Member, largest hostcapacity.Capacity) (membership.Member, bool) {
	var first membership.Member
	for i, m := range candidates {
		if i == 0 || precedes(m, first, largest) {
			first = m
		}
	}
	return first, len(candidates) > 0
}

// firstByAddress returns the member on a host of the largest class whose address has the lowest hash, among this daemon
// and the known addresses that are not avoided.
func (v View) firstByAddress() membership.Member {
	largest := v.Self.Capacity
	for _, a := range v.Addresses {
		largest = largest.Max(a.Capacity)
	}
	best := v.Self
	for _, a := range v.Addresses {
		candidate := membership.Member{
			Incarnation: a.Addr,
			PeerAddr:    a.Addr,
			Capacity:    a.Capacity,
		}
		if !v.Avoided(a.Addr) && precedes(candidate, best.WithTerm(0).WithVersion(0), largest) {
			best = candidate
		}
	}
	return best
}

// KnownByAddress reports whether only the address of a member is known.
func KnownByAddress(m membership.Member) bool { return m.Version == 0 }

// precedes reports whether a takes precedence over b. It compares the class of the host's capacity (larger first), the
// term (higher first), the start time in steps of startGroupMillis (later first), and the hash of the address. So
// ownership moves to a larger host only if that one is at least twice as large.
func precedes(a, b membership.Member, largest hostcapacity.Capacity) bool {
	if x, y := a.Capacity.Class(largest), b.Capacity.Class(largest); x != y {
		return x < y
	}
	if a.Term != b.Term {
		return a.Term > b.Term
	}
	if x, y := a.Version/startGroupMillis, b.Version/startGroupMillis; x != y {
		return x > y
	}
	return ident.Hash(a.PeerAddr) < ident.Hash(b.PeerAddr)
}
