package fold

import "sync"

// claimShards is the number of maps, each with its own lock, that the claims are split
// into.
const claimShards = 16

// claimSet holds claims by key hash. Each shard has its own lock, so that lookups
// don't wait for the machine's lock.
type claimSet struct {
	shards [claimShards]claimShard
	// order holds the key hashes in offset order. The machine's lock guards it.
	order []KeyHash
	// owners interns the owners' names: claims of one owner share a string. The
	// machine's lock guards it.
	owners map[string]string
}

type claimShard struct {
	mu    sync.RWMutex
	byKey map[KeyHash]claimValue
}

type claimValue struct {
	requestHash [32]byte
	owner       string
	offset      uint64
	timeMs      int64
}

func (s *claimSet) shard(key *KeyHash) *claimShard {
	return &s.shards[key[0]%claimShards]
}

func (s *claimSet) get(key KeyHash) (Claim, bool) {
	sh := s.shard(&key)
	sh.mu.RLock()
	defer sh.mu.RUnlock()
	v, ok := sh.byKey[key]
	return Claim{
		KeyHash:     key,
		RequestHash: v.requestHash,
		Owner:       v.owner,
		Offset:      v.offset,
		TimeMs:      v.timeMs,
	}, ok
}

// add stores a claim and reports whether it did: the first claim of a key wins.
func (s *claimSet) add(c Claim) bool {
	sh := s.shard(&c.KeyHash)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if _, taken := sh.byKey[c.KeyHash]; taken {
		return false
	}
	if sh.byKey == nil {
		sh.byKey = make(map[KeyHash]claimValue)
	}
	sh.byKey[c.KeyHash] = claimValue{
		requestHash: c.RequestHash,
		owner:       s.intern(c.Owner),
		offset:      c.Offset,
		timeMs:      c.TimeMs,
	}
	s.order = append(s.order, c.KeyHash)
	return true
}

func (s *claimSet) intern(owner string) string {
	if interned, ok := s.owners[owner]; ok {
		return interned
	}
	if s.owners == nil {
		s.owners = make(map[string]string)
	}
	s.owners[owner] = owner
	return owner
}

// oldest returns the first claim in offset order.
func (s *claimSet) oldest() (Claim, bool) {
	if len(s.order) == 0 {
		return Claim{}, false
	}
	return s.get(s.order[0])
}

func (s *claimSet) removeOldest() {
	key := s.order[0]
	s.order = s.order[1:]
	sh := s.shard(&key)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	delete(sh.byKey, key)
}

func (s *claimSet) clear() {
	s.order = nil
	s.owners = nil
	for i := range s.shards {
		sh := &s.shards[i]
		sh.mu.Lock()
		sh.byKey = nil
		sh.mu.Unlock()
	}
}

// all returns the claims in offset order.
func (s *claimSet) all() []Claim {
	claims := make([]Claim, 0, len(s.order))
	for _, key := range s.order {
		c, _ := s.get(key)
		claims = append(claims, c)
	}
	return claims
}
