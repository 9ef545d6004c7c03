package fold

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"google.golang.org/protobuf/proto"

	"sequoiafork/internal/table"
)

// Digest identifies the state after an offset.
type Digest = [sha256.Size]byte

// digestVersion must change whenever the rules for applying records or the encoding of
// the state change. The text of an edit's reason is part of the state.
const digestVersion = 1

// setHash is the XOR of the hashes of a set's elements. It doesn't depend on their order
// and is updated in constant time. Adding an element twice removes it again, so the hash
// must cover the element's complete content and elements must be distinct.
type setHash [sha256.Size]byte

// toggle adds an element, or removes it if it is included.
func (s *setHash) toggle(element proto.Message) {
	h := sha256.Sum256(canonical(element))
	for i := range s {
		s[i] ^= h[i]
	}
}

// canonical returns the encoding of a message that digests are computed from. The
// messages have no maps and no unknown fields, so deterministic encoding is in field
// order.
func canonical(m proto.Message) []byte {
	data, err := proto.MarshalOptions{
		Deterministic: true,
	}.Marshal(m)
	if err != nil {
		// Marshal fails only for strings that aren't UTF-8, which decoding rejects.
		panic(fmt.Sprintf("fold: encode %T: %v", m, err))
	}
	return data
}

// changeDigest is a SHA-256 digest of an edit's change, truncated to 16 bytes.
type changeDigest = [16]byte

func digestChange(e table.Edit) changeDigest {
	h := sha256.Sum256(canonical(changeToProto(e)))
	return changeDigest(h[:])
}

// stateHashes holds the hash of each part of the state. They are updated incrementally.
type stateHashes struct {
	rows   setHash
	edits  setHash
	leases setHash
	claims setHash
}

// digest returns the digest of the state after the covered offset.
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

// digestRing is a ring buffer of the digests after the latest offsets.
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

// at returns the digest after an offset, if the buffer still holds it.
func (l *digestRing) at(offset uint64) (Digest, bool) {
	if len(l.entries) == 0 {
		return Digest{}, false
	}
	e := l.entries[offset%uint64(len(l.entries))]
	return e.digest, e.offset == offset && offset != 0
}
