package perf

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"
)

const (
	keyRate    = 200 // requests per second
	outageRate = 50  // requests per second while the log is down
)

// nonIdempotentCall returns a function that sends a request with a non-idempotent stage
// and a key from next.
func (b *bench) nonIdempotentCall(next func() (string, error)) func(context.Context) error {
	return func(context.Context) error {
		key, err := next()
		if err != nil {
			return err
		}
		req, err := http.NewRequest(http.MethodPost, "http://"+b.caller+"/v1/routes/once/call", bytes.NewReader([]byte(`{"workspace":"w","input":"an order"}`)))
		if err != nil {
			return err
		}
		req.Header.Set("Content-Type", "application/json")
		if key != "" {
			req.Header.Set("Idempotency-Key", key)
		}
		return do(req, nil)
	}
}

func do(req *http.Request, into any) error {
	res, err := httpClient.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d: %s", res.StatusCode, body)
	}
	if into == nil {
		return nil
	}
	return json.Unmarshal(body, into)
}

func noKey() (string, error) { return "", nil }

func callerChosenKey() (string, error) { return uuid.NewString(), nil }

func (b *bench) issuedKey() (string, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+b.caller+"/v1/keys", nil)
	if err != nil {
		return "", err
	}
	var issued struct {
		Key string `json:"key"`
	}
	err = do(req, &issued)
	return issued.Key, err
}

func (b *bench) appends(tb testing.TB) int64 {
	req, err := http.NewRequest(http.MethodGet, "http://"+b.log+"/control/ledger", nil)
	require.NoError(tb, err)
	var ledger struct {
		Appends int64 `json:"appends"`
	}
	require.NoError(tb, do(req, &ledger))
	return ledger.Appends
}

// BenchmarkKeys compares requests that run at most once: without a key, with a key
// issued by the daemon, and with a key chosen by the caller, which the daemon must claim
// on the log. Each is also measured while the log is down.
func BenchmarkKeys(b *testing.B) {
	for _, form := range []string{"none", "issued", "chosen"} {
		b.Run(form, func(b *testing.B) {
			bench := newBench(b, 2)
			next := map[string]func() (string, error){
				"none":   noKey,
				"issued": bench.issuedKey,
				"chosen": callerChosenKey,
			}[form]
			call := bench.nonIdempotentCall(next)
			openLoopAt(b, keyRate, keyRate, call)
			before := bench.appends(b)
			b.ResetTimer()
			began := time.Now()
			h, failed := openLoopAt(b, keyRate, b.N, call)
			took := time.Since(began)
			b.ReportMetric(float64(h.ValueAtQuantile(50)), "median-us")
			b.ReportMetric(float64(h.ValueAtQuantile(99)), "p99-us")
			b.ReportMetric(float64(int64(b.N)-failed)/took.Seconds(), "answers/s")
			b.ReportMetric(float64(bench.appends(b)-before)/took.Seconds(), "appends/s")
			put(b, "http://"+bench.log+"/control/faults", `{"down":true}`)
			n := min(b.N, 4*outageRate)
			_, failed = openLoopAt(b, outageRate, n, call)
			b.ReportMetric(100*float64(int64(n)-failed)/float64(n), "%answered-in-outage")
		})
	}
}
