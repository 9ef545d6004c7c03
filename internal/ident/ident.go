// Package ident creates and parses the identifiers of incarnations, requests, attempts
// and system-issued idempotency keys. An incarnation is one run of a process; a restart
// is a new incarnation.
package ident

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

const (
	issuedPrefix    = "sk1."
	issuedKeyFields = 4
	randomIDBytes   = 8
	base10          = 10
	int64Bits       = 64
	incarnationSep  = "/"
)

// NewIncarnation returns the identifier of a process that listens for its peers on
// peerAddr. No two processes have the same identifier, even after a restart.
func NewIncarnation(peerAddr string) string {
	return peerAddr + incarnationSep + randomHex()
}

// PeerAddr returns the peer address of an incarnation, or "" if it has none.
func PeerAddr(incarnation string) string {
	addr, _, ok := strings.Cut(incarnation, incarnationSep)
	if !ok {
		return ""
	}
	return addr
}

// NewRequestID returns a new request identifier.
func NewRequestID() string {
	return "r-" + uuid.Must(uuid.NewV7()).String()
}

// AttemptID returns the identifier of one attempt at one stage of a request.
func AttemptID(request string, stage, attempt int) string {
	return request + "." + strconv.Itoa(stage) + "." + strconv.Itoa(attempt)
}

// IssuedKey is a system-issued idempotency key. Only the incarnation Owner may run
// the request that carries it.
type IssuedKey struct {
	Owner  string
	Issued time.Time
	nonce  string
}

// MalformedKeyError reports a key that has the prefix of a system-issued key but not
// its format.
type MalformedKeyError struct {
	Key string
}

// Error implements error.
func (e *MalformedKeyError) Error() string {
	return fmt.Sprintf("idempotency key %q is not one that was issued: use the key as it was received, or one that does not start with %q", e.Key, issuedPrefix)
}

// NewIssuedKey returns a new key that belongs to the incarnation owner.
func NewIssuedKey(owner string, now time.Time) IssuedKey {
	return IssuedKey{
		Owner:  owner,
		Issued: now,
		nonce:  randomHex(),
	}
}

// String returns the encoded form of k, which callers send.
func (k IssuedKey) String() string {
	owner := base64.RawURLEncoding.EncodeToString([]byte(k.Owner))
	return issuedPrefix + owner + "." + strconv.FormatInt(k.Issued.UnixMilli(), base10) + "." + k.nonce
}

// IsIssued reports whether key has the prefix of a system-issued key.
func IsIssued(key string) bool {
	return strings.HasPrefix(key, issuedPrefix)
}

// ParseIssuedKey parses a system-issued key. The error is a *MalformedKeyError.
func ParseIssuedKey(key string) (IssuedKey, error) {
	fields := strings.Split(key, ".")
	if len(fields) != issuedKeyFields || fields[0]+"." != issuedPrefix || fields[3] == "" {
		return IssuedKey{}, &MalformedKeyError{
			Key: key,
		}
	}
	owner, err := base64.RawURLEncoding.DecodeString(fields[1])
	if err != nil {
		return IssuedKey{}, &MalformedKeyError{
			Key: key,
		}
	}
	millis, err := strconv.ParseInt(fields[2], base10, int64Bits)
	if err != nil {
		return IssuedKey{}, &MalformedKeyError{
			Key: key,
		}
	}
	return IssuedKey{
		Owner:  string(owner),
		Issued: time.UnixMilli(millis),
		nonce:  fields[3],
	}, nil
}

func randomHex() string {
	var b [randomIDBytes]byte
	_, _ = rand.Read(b[:]) // never fails, see crypto/rand
	return hex.EncodeToString(b[:])
}

// UUIDAge returns how long before now a key was created, if the key is a UUID that
// contains its creation time (version 7).
func UUIDAge(key string, now time.Time) (time.Duration, bool) {
	const uuidVersion7 = 7
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != uuidVersion7 {
		return 0, false
	}
	sec, nsec := id.Time().UnixTime()
	return now.Sub(time.Unix(sec, nsec)), true
}
