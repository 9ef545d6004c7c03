package fold

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/table"
)

// Digest identifies the folded state after an offset.
type Digest = [sha256.Size]byte

// digestVersion changes when the fold rules or the encoding of the state change.
const digestVersion = 1

// sum is the digest of a set. Adding an element twice takes it out again, so an
// element's hash must be of its whole content and elements must be distinct.
type setHash [sha256.Size]byte

func (s *setHash) toggle(element proto.Message) {
	h := sha256.Sum256(canonical(element))
	for i := range s {
		s[i] ^= h[i]
	}
}

// canonical returns the bytes that stand for a message in a digest. The messages
// have no maps and no unknown fields, so deterministic encoding is in field order.
func canonical(m proto.Message) []byte {
	data, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(m)
	if err != nil {
		// Only text that isn't UTF-8 fails, and no such text is decoded.
		panic(fmt.Sprintf("fold: encode %T: %v", m, err))
	}
	return data
}

// changeDigest is the start of the sha256 of what an edit does.
type changeDigest = [16]byte

func digestChange(e table.Edit) changeDigest {
	h := sha256.Sum256(canonical(changeToProto(e)))
	return changeDigest(h[:])
}

// sums are the digests of the parts of the state, kept up to date by every change.
type stateHashes struct {
	rows   setHash
	edits  setHash
	leases setHash
	claims setHash
}

func (s *stateHashes) digest(covered, revision uint64, logTimeMs int64) Digest {
	var header [4 * 8]byte
	binary.BigEndian.PutUint64(header[0:], digestVersion)
	binary.BigEndian.PutUint64(header[8:], covered)
	binary.BigEndian.PutUint64(header[16:], revision)
	binary.BigEndian.PutUint64(header[24:], uint64(logTimeMs))
	h := sha256.New()
	for _, part := range [][]byte{header[:], s.rows[:], s.edits[:], s.leases[:], s.claims[:]} {
		h.Write(part)
	}
	return Digest(h.Sum(nil))
}

// digestLog remembers the digests after the latest offsets.
type digestRing struct {
	entries []digestEntry
}

type digestEntry struct {
	offset uint64
	digest Digest
}

func (l *digestRing) add(offset uint64, digest Digest, limit int) {
	if l.entries == nil {
		l.entries = make([]digestEntry, limit)
	}
	l.entries[offset%uint64(limit)] = digestEntry{
		offset: offset,
		digest: digest,
	}
}

func (l *digestRing) at(offset uint64) (Digest, bool) {
	if len(l.entries) == 0 {
		return Digest{}, false
	}
	e := l.entries[offset%uint64(len(l.entries))]
	return e.digest, e.offset == offset && offset != 0
}
