package fold

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/table"
	"sequoiafork/internal/wire/recordpb"
)

// Snapshot returns the whole state as a record of the log.
func (m *Machine) Snapshot(writer string) ([]byte, error) {
	return encode(&recordpb.Record{
		Kind: &recordpb.Record_Snapshot{
			Snapshot: m.copyState(writer),
		},
	})
}

func (m *Machine) copyState(writer string) *recordpb.Snapshot {
	m.mu.RLock()
	defer m.mu.RUnlock()
	covered := m.next.Load() - 1
	digest := m.digestLocked(covered)
	tables := m.tables.Load()
	s := &recordpb.Snapshot{
		CoveredOffset: covered,
		Digest:        digest[:],
		Revision:      tables.Revision(),
		TimeMs:        m.clockMs,
		Writer:        writer,
	}
	for _, row := range tables.Pools() {
		s.Rows = append(s.Rows, rowToProto(row))
	}
	for _, row := range tables.Routes() {
		s.Rows = append(s.Rows, rowToProto(row))
	}
	for _, id := range m.edits.order {
		s.Edits = append(s.Edits, outcomeToProto(m.edits.byID[id]))
	}
	for _, l := range m.leases {
		s.Leases = append(s.Leases, leaseToProto(l))
	}
	slices.SortFunc(s.Leases, func(a, b *recordpb.Lease) int { return cmp.Compare(a.GetName(), b.GetName()) })
	claims := m.claims.all()
	s.Claims = make([]*recordpb.Claim, 0, len(claims))
	for i := range claims {
		s.Claims = append(s.Claims, claimToProto(&claims[i]))
	}
	return s
}

// image is the decoded content of a snapshot.
type image struct {
	covered uint64
	writer  string
	clockMs int64
	sums    sums
	tables  *table.Tables
	edits   editWindow
	leases  map[string]Lease
	claims  []Claim
}

// decodeSnapshot returns the content of a snapshot whose digest is right, else a
// *SnapshotError or a *DigestError.
func decodeSnapshot(data []byte) (*image, error) {
	var r recordpb.Record
	if err := proto.Unmarshal(data, &r); err != nil {
		return nil, &SnapshotError{
			Reason: err.Error(),
		}
	}
	s := r.GetSnapshot()
	if s == nil {
		return nil, &SnapshotError{
			Reason: "the record is no snapshot",
		}
	}
	return decodeImage(s)
}

func decodeImage(s *recordpb.Snapshot) (*image, error) {
	img := &image{
		covered: s.GetCoveredOffset(),
		writer:  s.GetWriter(),
		clockMs: s.GetTimeMs(),
		leases:  make(map[string]Lease, len(s.GetLeases())),
	}
	img.readRows(s)
	for _, p := range s.GetEdits() {
		o := outcomeFromProto(p)
		img.edits.add(o)
		img.sums.edits.toggle(outcomeToProto(o))
	}
	for _, p := range s.GetLeases() {
		l := leaseFromProto(p)
		img.leases[l.Name] = l
		img.sums.leases.toggle(leaseToProto(l))
	}
	img.claims = make([]Claim, 0, len(s.GetClaims()))
	for _, p := range s.GetClaims() {
		c, ok := claimFromProto(p)
		if !ok {
			return nil, &SnapshotError{
				Reason: "a claim is not whole",
			}
		}
		img.claims = append(img.claims, c)
		img.sums.claims.toggle(claimToProto(&c))
	}
	got := img.sums.digest(img.covered, img.tables.Revision(), img.clockMs)
	if !slices.Equal(got[:], s.GetDigest()) {
		return nil, &DigestError{
			Covered: img.covered,
			Writer:  img.writer,
			Stated:  s.GetDigest(),
			Got:     got[:],
		}
	}
	return img, nil
}

func (img *image) readRows(s *recordpb.Snapshot) {
	var routes []table.RouteRow
	var pools []table.PoolRow
	for _, p := range s.GetRows() {
		if p.GetTable() == recordpb.Table_TABLE_POOLS {
			row := table.PoolRow{
				Value:    poolFromProto(p.GetName(), p.GetPool()),
				Revision: p.GetRevision(),
			}
			pools = append(pools, row)
			img.sums.rows.toggle(rowToProto(row))
			continue
		}
		row := table.RouteRow{
			Value:    routeFromProto(p.GetName(), p.GetRoute()),
			Revision: p.GetRevision(),
		}
		routes = append(routes, row)
		img.sums.rows.toggle(rowToProto(row))
	}
	img.tables = table.New().WithRows(routes, pools, s.GetRevision())
}
