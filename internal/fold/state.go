package fold

import (
	"time"

	"sequoiafork/internal/table"
)

// KeyHash is the hash of a workspace and an idempotency key chosen by a caller.
type KeyHash = [32]byte

// Claim assigns an idempotency key to one incarnation, which is one run of a daemon's
// process: only that incarnation may run the key's request.
type Claim struct {
	KeyHash KeyHash
	// RequestHash is the hash of the request that the key was claimed for.
	RequestHash [32]byte
	// Owner names the incarnation.
	Owner  string
	Offset uint64
	// TimeMs is the log's time when the claim was applied.
	TimeMs int64
}

// Lease is the state of a named lease.
type Lease struct {
	Name   string
	Holder string
	// FencingToken is the offset of the grant that began the lease term. A renewal
	// keeps it.
	FencingToken uint64
	// Expires is in the log's time.
	Expires time.Time
}

// LeaseRequest asks for, renews or releases a lease.
type LeaseRequest struct {
	Name   string
	Holder string
	TTL    time.Duration
	// FencingToken is that of the lease term to renew or release, or zero to begin a
	// new one.
	FencingToken uint64
	Release      bool
}

// EditOutcome is the result of applying an edit: accepted, rejected or in conflict.
type EditOutcome struct {
	ID       string
	Offset   uint64
	Accepted bool
	// Conflict reports that the base revision was stale.
	Conflict bool
	// Reason explains why the edit wasn't accepted.
	Reason string
	// RowName and IsPool identify the row that the edit targets.
	RowName string
	IsPool  bool
	// TimeMs is the log's time when the edit was applied.
	TimeMs int64
	change changeDigest
}

// Matches reports whether the outcome is that of the given edit, and not of another
// change with the same ID.
func (o EditOutcome) Matches(e table.Edit) bool {
	return o.ID == e.ID && o.change == digestChange(e)
}

// Counters count events since a machine was created. They aren't part of the state.
type Counters struct {
	Applied            uint64 `json:"applied"`
	Undecodable        uint64 `json:"undecodable"`
	DuplicateEdits     uint64 `json:"duplicate_edits"`
	SnapshotMatches    uint64 `json:"snapshot_matches"`
	SnapshotMismatches uint64 `json:"snapshot_mismatches"`
	SnapshotsDamaged   uint64 `json:"snapshots_damaged"`
}

// SnapshotInfo describes a snapshot that a machine has restored or found in the log.
type SnapshotInfo struct {
	// LastOffset is the offset of the last record that it covers.
	LastOffset uint64
	// TimeMs is the log's time when it was restored or found.
	TimeMs int64
}
