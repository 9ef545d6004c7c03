package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"sequoiafork/internal/bubble"
)

// evidenceStep is a step of TestDroppedEnds: the end of an upstream, a success, or an admission, after a pause.
type evidenceStep struct {
	kind     int
	pause    time.Duration
	upstream int
	// fromPeer reports that another daemon has seen the end, which was age ago.
	fromPeer bool
	age      time.Duration
	// requests of the attempts, and the keys of each.
	requests []int
	keys     [][]int
}

// TestDroppedEnds guards against evidence that is dropped, for its number or its age, only in part or twice: ends of
// upstreams come in any order, from this daemon and others, with attempts that share their keys and their requests.
func TestDroppedEnds(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawEvidenceStep), 1, 60).Draw(rt, "steps")
		maxEnds := rapid.IntRange(1, 4).Draw(rt, "max_ends")
		if failed := bubble.Run(t, func(t *bubble.T) { playEvidence(t, maxEnds, steps) }); failed != "" {
			rt.Fatal(failed)
		}
	})
}

func drawEvidenceStep(t *rapid.T) evidenceStep {
	s := evidenceStep{
		kind:     rapid.IntRange(0, 4).Draw(t, "kind"),
		pause:    time.Duration(rapid.IntRange(0, 1500).Draw(t, "pause_ms")) * time.Millisecond,
		upstream: rapid.IntRange(0, 5).Draw(t, "upstream"),
		fromPeer: rapid.Bool().Draw(t, "from_peer"),
		age:      time.Duration(rapid.IntRange(-500, 3500).Draw(t, "age_ms")) * time.Millisecond,
		requests: rapid.SliceOfN(rapid.IntRange(0, 3), 1, 4).Draw(t, "requests"),
	}
	for range s.requests {
		s.keys = append(s.keys, rapid.SliceOfN(rapid.IntRange(0, 3), 1, 3).Draw(t, "keys"))
	}
	return s
}

func playEvidence(t *bubble.T, maxEnds int, steps []evidenceStep) {
	const ttl = 3 * time.Second
	r := New(Config{
		EvidenceTTL: ttl,
		MaxEnds:     maxEnds,
		MaxHolds:    2,
	})
	for _, s := range steps {
		time.Sleep(s.pause)
		switch s.kind {
		case 0:
			r.Succeeded(s.request(0))
		case 1:
			_ = r.BeginAttempt(s.request(0)) // Whether it is held is not checked here.
			r.DecisionIn(s.request(0))
		default:
			s.end(r)
		}
		requireWhole(t, r)
	}
}

func (s evidenceStep) request(i int) Request {
	req := Request{
		ID: fmt.Sprint("r", s.requests[i]),
	}
	for rank, key := range s.keys[i] {
		req.Keys = append(req.Keys, Key{
			Hash: uint64(key),
			Rank: rank,
		})
	}
	return req
}

// end tells r of the end of the upstream.
func (s evidenceStep) end(r *Registry) {
	e := End{
		Incarnation: fmt.Sprint("i-", s.upstream),
		At:          time.Now(),
	}
	if s.fromPeer {
		e.At = e.At.Add(-s.age)
	}
	for i := range s.requests {
		e.Attempts = append(e.Attempts, AttemptsOf(s.request(i), e.At.Add(-time.Second))...)
	}
	if s.fromPeer {
		r.Merge(e)
	} else {
		r.Ended(e)
	}
}

// requireWhole requires that each suspect has the ends of which it has attempts, and no others, and that nothing else
// refers to ends that were dropped.
func requireWhole(t *bubble.T, r *Registry) {
	require.Len(t, r.oldest, len(r.ends))
	require.LessOrEqual(t, len(r.ends), r.cfg.MaxEnds)
	attempts := 0
	for _, e := range r.ends {
		keys := make(map[uint64]bool)
		for _, a := range e.Attempts {
			keys[a.Key.Hash] = true
			require.Contains(t, r.suspects, a.Key.Hash)
			require.Contains(t, r.suspects[a.Key.Hash].ends, e)
		}
		attempts += len(keys)
	}
	for key, s := range r.suspects {
		require.NotEmpty(t, s.ends, "suspect %d", key)
		attempts -= len(s.ends)
	}
	require.Zero(t, attempts, "ends of suspects that are not kept")
	for _, e := range r.undecided {
		require.Same(t, r.ends[e.Incarnation], e, "undecided end")
	}
}
