package confsync

import "fmt"

// NotReadyError means that the daemon has no complete state yet.
type NotReadyError struct{}

// Error returns advice for the operator.
func (e *NotReadyError) Error() string {
	return "the tables have not been read yet: try another daemon, or this one later"
}

// NoSnapshotError means that the log holds neither the records that follow the state nor
// a usable snapshot.
type NoSnapshotError struct {
	// NextOffset is the offset of the next record to apply, FirstOffset the oldest offset
	// that the log retains.
	NextOffset  uint64
	FirstOffset uint64
}

// Error returns the offsets.
func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("records from offset %d have expired, the log starts at %d and holds no usable snapshot", e.NextOffset, e.FirstOffset)
}

// LogTruncatedError means that the log ends before records that were already read: it
// is a different log, or it lost records.
type LogTruncatedError struct {
	// NextOffset is the offset of the next record to read, EndOffset the offset after the
	// log's last record.
	NextOffset uint64
	EndOffset  uint64
}

// Error returns the offsets.
func (e *LogTruncatedError) Error() string {
	return fmt.Sprintf("the log ends at offset %d, but records before %d were read: check log_addr and log_stream", e.EndOffset, e.NextOffset)
}

// RevisionNotReadError means that this daemon has not yet applied the base revision of an
// edit.
type RevisionNotReadError struct {
	BaseRevision uint64
	Revision     uint64
}

// Error returns both revisions.
func (e *RevisionNotReadError) Error() string {
	return fmt.Sprintf("this daemon has read up to revision %d, the edit was made against %d: try another daemon", e.Revision, e.BaseRevision)
}
