package idempotency_test

import (
	"context"
	"encoding/binary"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/idempotency"
	"sequoiafork/internal/ident"
	"sequoiafork/internal/outcome"
)

// unclaimed is a Claimer that knows no claims, as after they have been discarded. Every claim
// succeeds.
type unclaimed struct{ self string }

func (unclaimed) Lookup(idempotency.KeyHash) (idempotency.Owner, bool) {
	return idempotency.Owner{}, false
}

func (c unclaimed) Claim(_ context.Context, _ idempotency.KeyHash, hash idempotency.RequestHash) (idempotency.Owner, error) {
	return idempotency.Owner{
		Incarnation: c.self,
		RequestHash: hash,
	}, nil
}

func (unclaimed) WaitCurrent(context.Context) error { return nil }

const testSelf = "127.0.0.1:1/a"

func newRegistry() *idempotency.Registry {
	return idempotency.New(idempotency.Config{
		Self:   testSelf,
		Claims: unclaimed{self: testSelf},
	})
}

func nonIdempotentRequest(key string) idempotency.Request {
	return idempotency.Request{
		ID:            "r",
		Key:           key,
		NonIdempotent: true,
		Run: func(context.Context) (outcome.Outcome, <-chan outcome.Outcome) {
			return outcome.Answered{
				RequestID: "r",
			}, nil
		},
	}
}

// TestOutcomeIsStoredBeforeItIsReturned guards against a caller that asks for a key right
// after its answer and is told that the request still runs.
func TestOutcomeIsStoredBeforeItIsReturned(t *testing.T) {
	r := newRegistry()
	for i := range 20000 {
		key := strconv.Itoa(i)
		o := r.Do(t.Context(), nonIdempotentRequest(key))
		require.IsType(t, outcome.Answered{}, o)
		st := r.Status("", key)
		require.Equal(t, o, st.Outcome, "outcome of key %s right after its answer (running: %t)", key, st.Running)
	}
}

// uuidOf returns a UUID of version 7 made at a time. uuid.NewV7 never goes back behind an earlier
// one of the process, which may be of the real time.
func uuidOf(at time.Time) string {
	const millisecondBytes = 6
	var id uuid.UUID
	var ms [8]byte
	binary.BigEndian.PutUint64(ms[:], uint64(at.UnixMilli()))
	copy(id[:millisecondBytes], ms[len(ms)-millisecondBytes:])
	id[6], id[8] = 0x70, 0x80 // version and variant
	return id.String()
}

// TestRefuseOfOldKeyPromisesNothing guards against "not run" for a key so old that its claim
// or its outcome may have been discarded after a run.
func TestRefuseOfOldKeyPromisesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRegistry()
		chosen := uuidOf(time.Now())
		issued, _ := r.Issue()
		rejection := outcome.NotRun{
			RequestID: "r",
			Code:      outcome.CodeOverloaded,
		}
		for _, key := range []string{chosen, issued} {
			require.Equal(t, outcome.Outcome(rejection), r.Reject(t.Context(), nonIdempotentRequest(key), rejection), "a new key")
		}
		time.Sleep(idempotency.DefaultClaimWindow + time.Minute)
		for _, key := range []string{chosen, issued, ident.NewIssuedKey(testSelf, time.Now().Add(-time.Hour)).String()} {
			o := r.Reject(t.Context(), nonIdempotentRequest(key), rejection)
			require.IsType(t, outcome.Unknown{}, o, "key %s", key)
			require.Equal(t, outcome.CodeKeyExpired, outcome.CodeOf(o))
		}
	})
}
