package ident

import "hash/fnv"

// Hash returns the 64-bit FNV-1a hash of s, which is the same in every process.
func Hash(s string) uint64 {
	f := fnv.New64a()
	_, _ = f.Write([]byte(s))
	return f.Sum64()
}
