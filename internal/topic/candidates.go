package topic

import (
	"cmp"
	"slices"

	"sequoiafork/internal/ident"
	"sequoiafork/internal/membership"
)

// probesPerDataCentre is the number of daemons in a data centre that call an unreachable store after
// each backoff; the others wait otherProbeFactor times as long, since they learn from those that
// it is back, and call it only in case that it serves only some daemons.
const (
	probesPerDataCentre = 2
	otherProbeFactor    = 6
)

// living returns the living members that match, in the order in which they are chosen as reader: by
// the hash of their address, so that daemons that know the same members agree.
func living(members []membership.Member, match func(membership.Member) bool) []membership.Member {
	var list []membership.Member
	for _, m := range members {
		if m.State == membership.Alive && match(m) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, byCapacity(members))
	return list
}

// byCapacity returns the order in which daemons are chosen: those on the largest hosts first, since a reader's link
// and processor serve all daemons of its data centre, and hosts of one class by the hash of their address.
func byCapacity(members []membership.Member) func(a, b membership.Member) int {
	largest := membership.LargestHost(members)
	return func(a, b membership.Member) int {
		return cmp.Or(
			cmp.Compare(a.Capacity.Class(largest), b.Capacity.Class(largest)),
			cmp.Compare(ident.Hash(a.PeerAddr), ident.Hash(b.PeerAddr)),
		)
	}
}

// isProbe reports whether self is one of the first probesPerDataCentre daemons of its data centre.
func isProbe(members []membership.Member, self membership.Member) bool {
	order := byCapacity(members)
	before := 0
	for _, m := range members {
		if m.State == membership.Alive && m.DataCentre == self.DataCentre && order(m, self) < 0 {
			before++
		}
	}
	return before < probesPerDataCentre
}
