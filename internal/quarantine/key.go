package quarantine

import (
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies something that requests of a service share.
type Key struct {
	Hash uint64
	// Rank orders the keys of a request: of two, fewer requests have the one with the higher rank.
	Rank int
}

// String returns the hash in hexadecimal.
func (k Key) String() string { return fmt.Sprintf("%016x", k.Hash) }

// MaxParts is the number of parts of a prompt that have keys. Further ones are ignored.
const MaxParts = 64

// PartKey returns the key of a part of a prompt, of which it is the one with an index.
func PartKey(service, part string, index int) Key {
	const multiplier = 0x9e3779b97f4a7c15 // 2^64 divided by the golden ratio
	return Key{
		Hash: xxhash.Sum64String(part) ^ xxhash.Sum64String(service)*multiplier,
		Rank: index,
	}
}

// Content is what makes a request the same as another one, whatever its ID.
type Content struct {
	Service   string
	Workspace string
	Method    string
	Host      string
	// Target is the path and query.
	Target string
	Body   []byte
}

// separator stands after each text in the digest of a content.
var separator = [1]byte{0}

// contentRank exceeds the rank of each part.
const contentRank = MaxParts

// ContentKey returns the key of a request's content.
func ContentKey(c Content) Key {
	var d xxhash.Digest
	d.Reset()
	for _, text := range [...]string{
		c.Service,
		c.Workspace,
		c.Method,
		c.Host,
		c.Target,
	} {
		_, _ = d.WriteString(text) // It never fails.
		_, _ = d.Write(separator[:])
	}
	_, _ = d.Write(c.Body)
	return Key{
		Hash: d.Sum64(),
		Rank: contentRank,
	}
}

// StageInputKey returns the key of the input of a request's stages at the upstreams of a stage service.
func StageInputKey(service, input string) Key {
	k := PartKey(service, input, contentRank)
	k.Hash++ // Differs from that of a part with the same name.
	return k
}

// isContent reports whether the key is that of a whole request, or of all of its stages.
func (k Key) isContent() bool { return k.Rank >= contentRank }

// Request is a request with its keys.
type Request struct {
	ID   string
	Keys []Key
}

// AttemptsOf returns an attempt for each key of a request.
func AttemptsOf(req Request, began time.Time) []Attempt {
	list := make([]Attempt, 0, len(req.Keys))
	for _, k := range req.Keys {
		list = append(list, Attempt{
			Key:     k,
			Request: xxhash.Sum64String(req.ID),
			Began:   began,
		})
	}
	return list
}
