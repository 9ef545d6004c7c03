package fold

import "fmt"

// GapError says that a record isn't the next one.
type GapError struct {
	Offset uint64
	Next   uint64
}

// Error returns both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("apply record %d: the next offset is %d", e.Offset, e.Next)
}

// DigestError says that the content of a snapshot doesn't have the digest that the
// snapshot states.
type DigestError struct {
	Covered uint64
	Writer  string
	Stated  []byte
	Got     []byte
}

// Error returns the covered offset, the writer and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("snapshot at offset %d by %q: its content has digest %x, it states %x", e.Covered, e.Writer, e.Got, e.Stated)
}

// SnapshotError says that a snapshot can't be read.
type SnapshotError struct {
	Reason string
}

// Error returns the reason.
func (e *SnapshotError) Error() string {
	return "read snapshot: " + e.Reason
}

// StaleError says that a snapshot is older than the machine's state.
type StaleError struct {
	Covered  uint64
	Revision uint64
	Next     uint64
	Current  uint64
}

// Error returns the offsets and revisions of both.
func (e *StaleError) Error() string {
	return fmt.Sprintf("restore snapshot at offset %d, revision %d: state has next offset %d, revision %d", e.Covered, e.Revision, e.Next, e.Current)
}
