package stagetime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// precision is the relative error that the histograms may have.
const precision = 0.1

func observe(t *Tracker, key string, from, to time.Duration) {
	for i := range 100 {
		t.Observe(key, from+time.Duration(i)*(to-from)/100)
	}
}

func TestQuantilesFollowRecentTimes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tr := New(Config{})
		_, ok := tr.Quantile("k", 0.5)
		require.False(t, ok, "without observations")
		observe(tr, "k", 0, time.Second)
		for _, q := range []float64{0.1, 0.5, 0.9, 0.95, 0.99} {
			d, ok := tr.Quantile("k", q)
			require.True(t, ok)
			require.InEpsilon(t, q, d.Seconds(), precision)
		}
		time.Sleep(40 * time.Second)
		observe(tr, "k", 10*time.Second, 10*time.Second)
		d, _ := tr.Quantile("k", 0.75)
		require.InEpsilon(t, 10, d.Seconds(), precision)
		time.Sleep(40 * time.Second)
		d, _ = tr.Quantile("k", 0.1)
		require.InEpsilon(t, 10, d.Seconds(), precision, "the first times have expired")
		time.Sleep(time.Hour)
		_, ok = tr.Quantile("k", 0.5)
		require.False(t, ok, "after an hour")
	})
}

func TestSplit(t *testing.T) {
	tr := New(Config{})
	keys := []string{"a", "b", "c"}
	equal := tr.Split(keys, 3*time.Second)
	require.Equal(t, []time.Duration{time.Second, time.Second, time.Second}, equal)
	require.Zero(t, tr.MinTotalTime(keys))
	observe(tr, "a", 100*time.Millisecond, 100*time.Millisecond)
	observe(tr, "b", 300*time.Millisecond, 300*time.Millisecond)
	parts := tr.Split(keys, 6*time.Second)
	require.InEpsilon(t, 1, parts[0].Seconds(), precision)
	require.InEpsilon(t, 3, parts[1].Seconds(), precision)
	require.InEpsilon(t, 2, parts[2].Seconds(), precision, "an unknown stage counts as the mean")
	require.InEpsilon(t, 0.4, tr.MinTotalTime(keys).Seconds(), precision)
	require.Empty(t, tr.Split(nil, time.Second))
}
