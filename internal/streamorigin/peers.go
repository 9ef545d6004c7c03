package streamorigin

import (
	"cmp"
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

// tells reports whether self is one of the living daemons that tell a newcomer the origin of a request's stream: it is among
// the highest of the others, and the newcomer among those that are asked. There are several, since
// some of the living daemons may be dead already.
func tells(requestID, self, newcomer string, living []string) bool {
	selfRank, newcomerRank := rankOf(self, requestID), rankOf(newcomer, requestID)
	aboveSelf, aboveNewcomer := 0, 0
	for _, name := range living {
		r := rankOf(name, requestID)
		if name != newcomer && r > selfRank {
			aboveSelf++
		}
		if r > newcomerRank {
			aboveNewcomer++
		}
	}
	return aboveSelf < replicas && aboveNewcomer < queried
}

// rankOf returns the rank of a daemon for a request.
func rankOf(name, requestID string) uint64 { return xxhash.Sum64String(name + " " + requestID) }

// highest returns the n daemons other than self that rank highest for a request (rendezvous hashing).
func highest(requestID, self string, living []string, n int) []string {
	type ranked struct {
		name string
		rank uint64
	}
	list := make([]ranked, 0, len(living))
	for _, name := range living {
		if name == self {
			continue
		}
		list = append(list, ranked{
			name: name,
			rank: rankOf(name, requestID),
		})
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.rank, a.rank) })
	names := make([]string, 0, n)
	for _, r := range list[:min(n, len(list))] {
		names = append(names, r.name)
	}
	return names
}
