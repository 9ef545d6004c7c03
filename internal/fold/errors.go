package fold

import "fmt"

// GapError reports that a record was not applied because records before it are missing.
type GapError struct {
	// Offset is the record's offset, Next the offset of the next record to apply.
	Offset uint64
	Next   uint64
}

// Error returns both offsets.
func (e *GapError) Error() string {
	return fmt.Sprintf("apply record %d: the next offset is %d", e.Offset, e.Next)
}

// DigestMismatchError reports that the digest stated in a snapshot isn't the one computed from
// its content, or isn't the digest of this machine's state at the same offset.
type DigestMismatchError struct {
	// Covered is the offset of the last record that the snapshot covers.
	Covered uint64
	Writer  string
	// Stated is the digest in the snapshot.
	Stated []byte
	// Got is the digest that this machine computed.
	Got []byte
}

// Error returns the covered offset, the writer and both digests.
func (e *DigestMismatchError) Error() string {
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

// SnapshotTooOldError reports that a snapshot is older than the machine's state.
type SnapshotTooOldError struct {
	// Covered is the offset of the last record that the snapshot covers, and Revision the
	// snapshot's revision. Next and Current are the machine's next offset and revision.
	Covered  uint64
	Revision uint64
	Next     uint64
	Current  uint64
}

// Error returns the offsets and revisions of both.
func (e *SnapshotTooOldError) Error() string {
	return fmt.Sprintf("restore snapshot at offset %d, revision %d: state has next offset %d, revision %d", e.Covered, e.Revision, e.Next, e.Current)
}
