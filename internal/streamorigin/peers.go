package streamorigin

import (
	"cmp"
	"math/bits"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// replicas is the number of peers to which an origin is announced.
	replicas = 3
	// queried is the number of peers that are asked for an origin. It is larger than replicas, since
	// the daemon that asks does not count itself, and the one that announced didn't either.
	queried = replicas + 1
)

// AnnounceTo returns the daemons, other than self, that are told the origin of a request's stream.
func AnnounceTo(requestID, self string, living []string) []string {
	return highest(requestID, self, living, replicas)
}

// AskOf returns the daemons, other than self, that are asked for the origin of a request's stream.
func AskOf(requestID, self string, living []string) []string {
	return highest(requestID, self, living, queried)
}

// highest returns the n daemons other than self that rank highest for a request (rendezvous hashing).
func highest(requestID, self string, living []string, n int) []string {
	type ranked struct {
		name string
		rank uint64
	}
	request := xxhash.Sum64String(requestID)
	list := make([]ranked, 0, len(living))
	for _, name := range living {
		if name == self {
			continue
		}
		list = append(list, ranked{
			name: name,
			rank: rank(xxhash.Sum64String(name), request),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	names := make([]string, 0, n)
	for _, r := range list[:min(n, len(list))] {
		names = append(names, r.name)
	}
	return names
}

// joining decides which origins a daemon tells another one that has just joined.
type joining struct {
	self     uint64
	newcomer uint64
	// others are the other living daemons. All are hashes of names.
	others []uint64
}

func newJoining(self, newcomer string, living []string) joining {
	j := joining{
		self:     xxhash.Sum64String(self),
		newcomer: xxhash.Sum64String(newcomer),
	}
	for _, name := range living {
		if name != self && name != newcomer {
			j.others = append(j.others, xxhash.Sum64String(name))
		}
	}
	return j
}

// tells reports whether self is one of the daemons that tell the newcomer the origin of a request's stream: it is among
// the highest of the others, and the newcomer among those that are asked. There are several, since
// some of the living daemons may be dead already.
func (j joining) tells(requestID string) bool {
	request := xxhash.Sum64String(requestID)
	self, newcomer := rank(j.self, request), rank(j.newcomer, request)
	aboveSelf, aboveNewcomer := 0, 0
	if self > newcomer {
		aboveNewcomer++
	}
	for _, other := range j.others {
		r := rank(other, request)
		if r > self {
			aboveSelf++
		}
		if r > newcomer {
			aboveNewcomer++
		}
	}
	return aboveSelf < replicas && aboveNewcomer < queried
}

// rank returns the rank of a daemon for a request, from the hashes of their names.
func rank(daemon, request uint64) uint64 {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	hi, lo := bits.Mul64(daemon^request, multiplier)
	return hi ^ lo
}
