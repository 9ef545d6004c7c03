package fold

import "fmt"

// GapError reports that records between the next offset and an applied one are missing.
type GapError struct {
	Offset uint64
	Next   uint64
}

// Error returns both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("apply record %d: the next offset is %d", e.Offset, e.Next)
}

// DigestError reports that the digest stated in a snapshot isn't the one computed from
// its content, or isn't the digest of this machine's state at the same offset.
type DigestError struct {
	Covered uint64
	Writer  string
	// Stated is the digest in the snapshot.
	Stated []byte
	// Got is the digest that this machine computed.
	Got []byte
}

// Error returns the covered offset, the writer and both digests.
func (e *DigestError) Error() string {
	return fmt.Sprintf("snapshot at offset %d by %q: computed digest %x, snapshot states %x", e.Covered, e.Writer, e.Got, e.Stated)
}

// SnapshotError reports that a snapshot can't be decoded.
type SnapshotError struct {
	Reason string
}

// Error returns the reason.
func (e *SnapshotError) Error() string {
	return "decode snapshot: " + e.Reason
}

// StaleError reports that a snapshot is older than the machine's state.
type StaleError struct {
	// Covered and Revision are those of the snapshot, Next and Current the machine's
	// next offset and revision.
	Covered  uint64
	Revision uint64
	Next     uint64
	Current  uint64
}

// Error returns the offsets and revisions of both.
func (e *StaleError) Error() string {
	return fmt.Sprintf("restore snapshot at offset %d, revision %d: state has next offset %d, revision %d", e.Covered, e.Revision, e.Next, e.Current)
}
