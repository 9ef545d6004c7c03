// Package era defines positions in a log whose store may come back from an older copy of itself, after
// which offsets go back and are given out again.
package era

import "fmt"

// Position is the place of a record in a topic. The store may come back from an older copy of itself:
// it then begins a new era, in which offsets go back and are given out again.
type Position struct {
	Era    int64
	Offset int64
}

// Before reports whether p comes before o: in an earlier era, or at a lower offset of the same one.
func (p Position) Before(o Position) bool {
	if p.Era != o.Era {
		return p.Era < o.Era
	}
	return p.Offset < o.Offset
}

// WithOffset returns p at another offset of the same era.
func (p Position) WithOffset(offset int64) Position {
	p.Offset = offset
	return p
}

// String returns the era and the offset, separated by a slash.
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Offset) }
