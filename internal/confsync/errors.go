package confsync

import "fmt"

// NotReadyError says that the daemon has no whole state yet.
type NotReadyError struct{}

// Error says what to do.
func (e *NotReadyError) Error() string {
	return "the tables have not been read yet: try another daemon, or this one later"
}

// NoSnapshotError says that the log no longer holds the records that a state could be
// built from.
type NoSnapshotError struct {
	Next  uint64
	First uint64
}

// Error returns the offsets.
func (e *NoSnapshotError) Error() string {
	return fmt.Sprintf("records from offset %d have expired, the log starts at %d and holds no usable snapshot", e.Next, e.First)
}

// LogTruncatedError says that the log ends before records that were already read. It
// is another log, or it lost records.
type LogTruncatedError struct {
	Next uint64
	End  uint64
}

// Error returns the offsets.
func (e *LogTruncatedError) Error() string {
	return fmt.Sprintf("the log ends at offset %d, but records before %d were read: check log_addr and log_stream", e.End, e.Next)
}

// RevisionNotReadError says that this daemon has not yet read the revision that an edit was
// made against.
type RevisionNotReadError struct {
	BaseRevision uint64
	Revision     uint64
}

// Error returns both revisions.
func (e *RevisionNotReadError) Error() string {
	return fmt.Sprintf("this daemon has read up to revision %d, the edit was made against %d: try another daemon", e.Revision, e.BaseRevision)
}
