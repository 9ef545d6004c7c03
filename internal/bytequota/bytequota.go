// Package bytequota divides memory among buffers whose final size is not known, so that
// many that grow without end neither exhaust it nor take all of it from the others.
//
//	q := bytequota.New(bytequota.Config{})
//	r := q.Reserve()
//	defer r.Release()
//	body, err := r.ReadAll(src, maxBytes)
package bytequota

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
)

// Defaults of Config.
const (
	DefaultBytes        = 64 << 20
	DefaultMinimumBytes = 8 << 10
)

// Config configures a Quota. Zero fields mean the defaults.
type Config struct {
	// Bytes is the size of all buffers together, not counting the minimum of each.
	Bytes int64
	// MinimumBytes is the size that each buffer may have whatever the others hold.
	MinimumBytes int64
}

// Quota is memory that buffers share. Beyond its minimum, a buffer may grow to the size
// of what then remains free: one alone gets half of the bytes, and n that grow without
// end together leave one part in n+1. It is safe for concurrent use.
type Quota struct {
	cfg Config

	mu   sync.Mutex
	used int64
}

// New returns a Quota of which nothing is used.
func New(cfg Config) *Quota {
	cfg.Bytes = cmp.Or(cfg.Bytes, DefaultBytes)
	cfg.MinimumBytes = cmp.Or(cfg.MinimumBytes, DefaultMinimumBytes)
	return &Quota{
		cfg: cfg,
	}
}

// Reserve returns a reservation for one buffer, which is empty.
func (q *Quota) Reserve() *Reservation {
	return &Reservation{
		quota: q,
	}
}

// Used returns how many bytes are reserved beyond the minimum of each buffer.
func (q *Quota) Used() int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used
}

// ExceededError reports a buffer that may not grow because of the memory that buffers
// have in use.
type ExceededError struct {
	// Size is the size in bytes that was refused.
	Size int64
	// Limit is the size in bytes of all buffers together.
	Limit int64
}

// Error returns the size and the limit.
func (e *ExceededError) Error() string {
	return fmt.Sprintf("no memory for a buffer of %d bytes: all together may have %d", e.Size, e.Limit)
}

// TooLongError reports that more bytes arrived than may be read.
type TooLongError struct {
	// Limit is the maximum length in bytes.
	Limit int64
}

// Error returns the limit.
func (e *TooLongError) Error() string {
	return fmt.Sprintf("longer than %d bytes", e.Limit)
}

// Reservation is the part of a Quota that one buffer has. It is safe for concurrent use.
type Reservation struct {
	quota *Quota
	// beyond is the size beyond the minimum. It and released change under Quota.mu.
	beyond   atomic.Int64
	released bool
}

// Resize reserves size bytes in place of those reserved before. If it returns an
// *ExceededError, the reservation is unchanged.
func (r *Reservation) Resize(size int64) error {
	q := r.quota
	beyond := max(size-q.cfg.MinimumBytes, 0)
	if beyond == r.beyond.Load() {
		return nil
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if r.released {
		return nil
	}
	used := q.used - r.beyond.Load() + beyond
	if beyond > r.beyond.Load() && beyond > q.cfg.Bytes-used {
		return &ExceededError{
			Size:  size,
			Limit: q.cfg.Bytes,
		}
	}
	q.used = used
	r.beyond.Store(beyond)
	return nil
}

// Reset returns the bytes to the quota. The reservation may be resized again.
func (r *Reservation) Reset() {
	if r.beyond.Load() == 0 {
		return
	}
	q := r.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used -= r.beyond.Swap(0)
}

// Release returns the bytes to the quota. Further calls of Resize reserve nothing.
func (r *Reservation) Release() {
	q := r.quota
	q.mu.Lock()
	defer q.mu.Unlock()
	q.used -= r.beyond.Swap(0)
	r.released = true
}

// ReleaseAfter releases the reservation when ctx ends.
func (r *Reservation) ReleaseAfter(ctx context.Context) {
	if r.beyond.Load() > 0 {
		context.AfterFunc(ctx, r.Release)
	}
}

// initialBytes is the initial size of the buffer of ReadAll.
const initialBytes = 1 << 10

// ReadAll reads src to its end, at most limit bytes. It reserves the size of its buffer,
// which stays reserved until Release. It returns a *TooLongError or an *ExceededError if
// src has more bytes, and else the error of src, each with what was read.
func (r *Reservation) ReadAll(src io.Reader, limit int64) ([]byte, error) {
	buf := make([]byte, 0, initialBytes)
	for {
		n, err := src.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if int64(len(buf)) > limit {
			return buf[:limit], &TooLongError{
				Limit: limit,
			}
		}
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
		if len(buf) < cap(buf) {
			continue
		}
		if buf, err = r.grow(buf, limit+1); err != nil {
			return buf, err
		}
	}
}

// grow returns buf with twice the capacity, at most maxSize.
func (r *Reservation) grow(buf []byte, maxSize int64) ([]byte, error) {
	size := min(2*int64(cap(buf)), maxSize)
	if err := r.Resize(size); err != nil {
		return buf, err
	}
	grown := make([]byte, len(buf), size)
	copy(grown, buf)
	return grown, nil
}
