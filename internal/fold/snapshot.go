package fold

import (
	"bytes"
	"cmp"
	"maps"
	"slices"

	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/recordpb"
)

// Snapshot returns the complete state as a record of the log. It blocks changes of the
// state while it copies, but not while it encodes.
func (m *StateMachine) Snapshot(writer string) ([]byte, error) {
	return encode(&recordpb.Record{
		Kind: &recordpb.Record_Snapshot{
			Snapshot: m.copyState().toProto(writer),
		},
	})
}

// stateCopy is a copy of the state at one offset.
type stateCopy struct {
	covered   uint64
	digest    Digest
	logTimeMs int64
	tables    *table.Tables
	edits     []EditOutcome
	leases    []Lease
	claims    []Claim
}

func (m *StateMachine) copyState() stateCopy {
	m.mu.RLock()
	defer m.mu.RUnlock()
	covered := m.next.Load() - 1
	v := stateCopy{
		covered:   covered,
		digest:    m.digestLocked(covered),
		logTimeMs: m.logTimeMs,
		tables:    m.tables.Load(),
		edits:     make([]EditOutcome, 0, len(m.edits.order)),
		leases:    slices.Collect(maps.Values(m.leases)),
		claims:    m.claims.all(),
	}
	for _, id := range m.edits.order {
		v.edits = append(v.edits, m.edits.byID[id])
	}
	return v
}

// toProto returns the state as a message, in which rows and leases are sorted by name
// and edits and claims are in offset order.
func (v stateCopy) toProto(writer string) *recordpb.Snapshot {
	s := &recordpb.Snapshot{
		CoveredOffset: v.covered,
		Digest:        v.digest[:],
		Revision:      v.tables.Revision(),
		TimeMs:        v.logTimeMs,
		Writer:        writer,
		Claims:        make([]*recordpb.Claim, 0, len(v.claims)),
	}
	for _, row := range v.tables.Pools() {
		s.Rows = append(s.Rows, rowToProto(row))
	}
	for _, row := range v.tables.Routes() {
		s.Rows = append(s.Rows, rowToProto(row))
	}
	for _, o := range v.edits {
		s.Edits = append(s.Edits, outcomeToProto(o))
	}
	slices.SortFunc(v.leases, func(a, b Lease) int { return cmp.Compare(a.Name, b.Name) })
	for _, l := range v.leases {
		s.Leases = append(s.Leases, leaseToProto(l))
	}
	for i := range v.claims {
		s.Claims = append(s.Claims, claimToProto(&v.claims[i]))
	}
	return s
}

// decodedSnapshot is the decoded content of a snapshot.
type decodedSnapshot struct {
	covered   uint64
	writer    string
	logTimeMs int64
	digest    Digest
	hashes    stateHashes
	tables    *table.Tables
	edits     editOutcomes
	leases    map[string]Lease
	claims    []Claim
}

// decodeSnapshot decodes a snapshot and verifies its digest. Its error is a
// *SnapshotError or a *DigestMismatchError.
func decodeSnapshot(data []byte) (*decodedSnapshot, error) {
	r := decodeRecord(data)
	if r.message.GetSnapshot() == nil {
		return nil, &SnapshotError{
			Reason: "the record is not a snapshot",
		}
	}
	return r.snapshot, r.snapshotErr
}

func decodeSnapshotMessage(s *recordpb.Snapshot) (*decodedSnapshot, error) {
	snap := &decodedSnapshot{
		covered:   s.GetCoveredOffset(),
		writer:    s.GetWriter(),
		logTimeMs: s.GetTimeMs(),
		leases:    make(map[string]Lease, len(s.GetLeases())),
	}
	snap.readRows(s)
	for _, p := range s.GetEdits() {
		o := outcomeFromProto(p)
		snap.edits.add(o)
		snap.hashes.edits.toggle(outcomeToProto(o))
	}
	for _, p := range s.GetLeases() {
		l := leaseFromProto(p)
		snap.leases[l.Name] = l
		snap.hashes.leases.toggle(leaseToProto(l))
	}
	snap.claims = make([]Claim, 0, len(s.GetClaims()))
	for _, p := range s.GetClaims() {
		c, ok := claimFromProto(p)
		if !ok {
			return nil, &SnapshotError{
				Reason: "a claim has no owner or a hash of the wrong length",
			}
		}
		snap.claims = append(snap.claims, c)
		snap.hashes.claims.toggle(claimToProto(&c))
	}
	snap.digest = snap.hashes.digest(snap.covered, snap.tables.Revision(), snap.logTimeMs)
	if !bytes.Equal(snap.digest[:], s.GetDigest()) {
		return nil, &DigestMismatchError{
			Covered: snap.covered,
			Writer:  snap.writer,
			Stated:  s.GetDigest(),
			Got:     snap.digest[:],
		}
	}
	return snap, nil
}

// readRows sets the tables and the rows' hash.
func (snap *decodedSnapshot) readRows(s *recordpb.Snapshot) {
	var routes []table.RouteRow
	var pools []table.PoolRow
	for _, p := range s.GetRows() {
		if p.GetTable() == recordpb.Table_TABLE_POOLS {
			row := table.PoolRow{
				Value:    poolFromProto(p.GetName(), p.GetPool()),
				Revision: p.GetRevision(),
			}
			pools = append(pools, row)
			snap.hashes.rows.toggle(rowToProto(row))
			continue
		}
		row := table.RouteRow{
			Value:    routeFromProto(p.GetName(), p.GetRoute()),
			Revision: p.GetRevision(),
		}
		routes = append(routes, row)
		snap.hashes.rows.toggle(rowToProto(row))
	}
	snap.tables = table.New().WithRows(routes, pools, s.GetRevision())
}
