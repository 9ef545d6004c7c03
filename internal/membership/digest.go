package membership

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"sequoiafork/internal/wire/peerpb"
)

// bucketCount is the number of hash buckets by which two tables are compared.
const bucketCount = 32

func hashString(s string) uint64 {
	return xxhash.Sum64String(s)
}

// pairScore is the rendezvous hash of two incarnations. It is symmetric.
func pairScore(a, b string) uint64 {
	if a > b {
		a, b = b, a
	}
	return xxhash.Sum64String(a + "|" + b)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func bucketOf(incarnation string) int {
	return int(hashString(incarnation) % bucketCount)
}

// toggleDigest adds a living member to its bucket's digest, or removes it if it is
// there: the digest is an XOR of hashes.
func (t *Table) toggleDigest(m Member) {
	if m.State == Dead {
		return
	}
	buf := make([]byte, 0, 64)
	buf = append(buf, m.Incarnation...)
	buf = binary.LittleEndian.AppendUint64(buf, m.Version)
	buf = append(buf, byte(m.State))
	t.digests[bucketOf(m.Incarnation)] ^= xxhash.Sum64(buf)
}

// digest returns a hash of the incarnation, version and state of every living member.
func (t *Table) digest() uint64 {
	buf := make([]byte, 0, 8*bucketCount)
	for _, d := range t.digests {
		buf = binary.LittleEndian.AppendUint64(buf, d)
	}
	return xxhash.Sum64(buf)
}

func (t *Table) summary(reply bool) *peerpb.Summary {
	return &peerpb.Summary{
		Buckets: slices.Clone(t.digests[:]),
		Reply:   reply,
	}
}

// differingMembers returns rumors about every member, including dead ones, in the
// buckets whose digests differ from the summary.
func (t *Table) differingMembers(s *peerpb.Summary) []*peerpb.Rumor {
	if len(s.GetBuckets()) != bucketCount {
		return nil
	}
	var rumors []*peerpb.Rumor
	for inc, e := range t.members {
		b := bucketOf(inc)
		if s.GetBuckets()[b] != t.digests[b] {
			rumors = append(rumors, memberRumor(e.Member))
		}
	}
	return rumors
}

// livingMembers returns the living members sorted by incarnation.
func (t *Table) livingMembers() []*entry {
	if t.living != nil {
		return t.living
	}
	t.living = make([]*entry, 0, len(t.members))
	for _, e := range t.members {
		if e.State != Dead {
			t.living = append(t.living, e)
		}
	}
	sort.Slice(t.living, func(i, j int) bool {
		return t.living[i].Incarnation < t.living[j].Incarnation
	})
	return t.living
}
