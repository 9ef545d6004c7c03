package fairshare

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// offer is the work that a workspace offered.
type offer struct {
	workspace string
	work      time.Duration
}

// compare orders offers by falling work, then by name.
func (o offer) compare(other offer) int {
	if c := cmp.Compare(other.work, o.work); c != 0 {
		return c
	}
	return strings.Compare(o.workspace, other.workspace)
}

// largest returns the names of up to n workspaces with the most offered work.
func (w *window) largest(n int) []string {
	best := make([]offer, 0, n+1)
	for name, a := range w.accounts {
		o := offer{
			workspace: name,
			work:      a.sum.offered,
		}
		if len(best) == n && o.compare(best[n-1]) >= 0 {
			continue
		}
		at, _ := slices.BinarySearchFunc(best, o, offer.compare)
		best = slices.Insert(best, at, o)
		best = best[:min(len(best), n)]
	}
	names := make([]string, len(best))
	for i, o := range best {
		names[i] = o.workspace
	}
	return names
}
