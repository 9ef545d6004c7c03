package fold

import (
	"time"

	"sequoiafork/internal/table"
)

// KeyHash is the hash of a workspace and a key that a caller chose.
type KeyHash = [32]byte

// Claim is the right of one process incarnation to run the request of a key.
type Claim struct {
	KeyHash KeyHash
	// RequestHash is the hash of the request that the key stands for.
	RequestHash [32]byte
	Owner       string
	Offset      uint64
	// TimeMs is the log's time when the claim was folded.
	TimeMs int64
}

// Lease is the state of a named lease.
type Lease struct {
	Name   string
	Holder string
	// FencingToken is the offset of the grant that began the tenure.
	FencingToken uint64
	// Expires is in the log's time.
	Expires time.Time
}

// LeaseRequest asks for, renews or releases a lease.
type LeaseRequest struct {
	Name   string
	Holder string
	TTL    time.Duration
	// FencingToken is the tenure that is renewed or released, or zero for a new one.
	FencingToken uint64
	Release      bool
}

// EditOutcome says how an edit was settled.
type EditOutcome struct {
	ID       string
	Offset   uint64
	Accepted bool
	// Conflict says that the base revision was stale.
	Conflict bool
	Reason   string
	// RowName and Pool name the row.
	RowName string
	IsPool  bool
	TimeMs  int64
	change  changeDigest
}

// Matches reports whether the outcome is of this edit, and not of another change
// with the same ID.
func (o EditOutcome) Matches(e table.Edit) bool {
	return o.ID == e.ID && o.change == digestChange(e)
}

// Counters count what a machine met since it began. They aren't part of the state.
type Counters struct {
	Applied            uint64 `json:"applied"`
	Undecodable        uint64 `json:"undecodable"`
	DuplicateEdits     uint64 `json:"duplicate_edits"`
	SnapshotMatches    uint64 `json:"snapshot_matches"`
	SnapshotMismatches uint64 `json:"snapshot_mismatches"`
	SnapshotsDamaged   uint64 `json:"snapshots_damaged"`
}

// SnapshotInfo says how far the newest snapshot reaches.
type SnapshotInfo struct {
	// LastOffset is the offset of the last record that it covers.
	LastOffset uint64
	// TimeMs is the log's time when it was met.
	TimeMs int64
}
