package perf

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/invoke"
	"sequoiafork/internal/pipeline"
	"sequoiafork/internal/table"
)

const (
	stages      = 4
	arrivalRate = 2000 // requests per second
	workers     = 64
	idleTime    = 10 * time.Second
	startupWait = 500 * time.Millisecond
)

// bench is one daemon in front of four upstreams that respond almost immediately.
type bench struct {
	log       string
	upstreams []string
	daemon    *exec.Cmd
	caller    string
	operator  string
}

func newBench(tb testing.TB, cores int) *bench {
	b := &bench{}
	b.log = startStandin(tb, "log")
	hosts := startStandin(tb, "hostlist")
	var list string
	for i := range stages {
		addr := startStandin(tb, "pool", "-kind", "encoder", "-service-ms", "0.01", "-capacity", "512", "-queue", "4096")
		b.upstreams = append(b.upstreams, addr)
		list += fmt.Sprintf(`{"addr":%q,"data_centre":"dc1","service":"s%d","state":"live"},`, addr, i)
	}
	put(tb, "http://"+hosts+"/control/hosts", `{"hosts":[`+list[:len(list)-1]+`]}`)
	path := filepath.Join(tb.TempDir(), "sequoiaforkd.ini")
	ini := fmt.Sprintf("[daemon]\ndata_centre = dc1\ncaller_addr = 127.0.0.1:0\noperator_addr = 127.0.0.1:0\npeer_addr = 127.0.0.1:0\n"+
		"[platform]\nlog_addr = %s\nlog_stream = perf\nhost_list_addr = %s\n", b.log, hosts)
	require.NoError(tb, os.WriteFile(path, []byte(ini), 0o600))
	var line string
	b.daemon, line = start(tb, cores, `"serving"`, "sequoiaforkd", "-config", path)
	var addrs struct {
		Caller   string `json:"caller_addr"`
		Operator string `json:"operator_addr"`
	}
	require.NoError(tb, json.Unmarshal([]byte(line), &addrs))
	b.caller = addrs.Caller
	b.operator = addrs.Operator
	time.Sleep(startupWait)
	b.publish(tb, "http://"+addrs.Operator)
	return b
}

func (b *bench) publish(tb testing.TB, operator string) {
	var list string
	for i := range stages {
		put(tb, fmt.Sprintf("%s/v1/pools/p%d?base_revision=0", operator, i), fmt.Sprintf(`{"kind":"encoder","service":"s%d","concurrency":1024}`, i))
		list += fmt.Sprintf(`{"name":"s%d","pool":"p%d"},`, i, i)
	}
	put(tb, operator+"/v1/routes/once?base_revision=0", `{"deadline_ms":4000,"stages":[{"name":"s0","pool":"p0","not_repeatable":true}]}`)
	put(tb, operator+"/v1/routes/r?base_revision=0", `{"deadline_ms":4000,"stages":[`+list[:len(list)-1]+`]}`)
}

// profile writes a CPU profile of the daemon to the file that the environment variable
// PERF_PROFILE names; if it is not set, it does nothing. wait blocks until the file is
// written.
func (b *bench) profile(tb testing.TB) (wait func()) {
	path := os.Getenv("PERF_PROFILE")
	if path == "" {
		return func() {}
	}
	var wg sync.WaitGroup
	wg.Go(func() {
		res, err := http.Get("http://" + b.operator + "/debug/pprof/profile?seconds=5")
		if err != nil {
			tb.Error(err)
			return
		}
		defer res.Body.Close()
		data, _ := io.ReadAll(res.Body)
		_ = os.WriteFile(path, data, 0o600)
	})
	return wg.Wait
}

var httpClient = &http.Client{
	Transport: &http.Transport{
		MaxIdleConnsPerHost: 1024,
	},
}

// throughDaemon sends one request through the daemon.
func (b *bench) throughDaemon(context.Context) error {
	body := []byte(`{"workspace":"w","input":"a short question"}`)
	res, err := httpClient.Post("http://"+b.caller+"/v1/routes/r/call", "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	defer res.Body.Close()
	answer, err := io.ReadAll(res.Body)
	if err == nil && res.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", res.StatusCode, answer)
	}
	return err
}

// direct returns a function that calls the same upstreams in sequence without a daemon.
func (b *bench) direct(client *invoke.Client) func(context.Context) error {
	return func(ctx context.Context) error {
		input := "a short question"
		for i, addr := range b.upstreams {
			reply, err := client.Invoke(ctx, pipeline.Call{
				Addr:      addr,
				AttemptID: "a",
				RequestID: "r",
				Workspace: "w",
				Stage: table.Stage{
					Name: fmt.Sprintf("s%d", i),
				},
				Input:     input,
				Remaining: time.Second,
			})
			if err != nil {
				return err
			}
			input = reply.Output
		}
		return nil
	}
}

// openLoop starts n calls at arrivalRate and returns their latencies, each measured from
// the scheduled start of the call.
func openLoop(b *testing.B, n int, call func(context.Context) error) *hdrhistogram.Histogram {
	h, failed := openLoopAt(b, arrivalRate, n, call)
	require.Zero(b, failed, "failed calls")
	return h
}

func openLoopAt(b *testing.B, perSecond, n int, call func(context.Context) error) (*hdrhistogram.Histogram, int64) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	var failed atomic.Int64
	h := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	began := time.Now()
	for i := range n {
		scheduled := began.Add(time.Duration(i) * time.Second / time.Duration(perSecond))
		time.Sleep(time.Until(scheduled))
		wg.Go(func() {
			if err := call(b.Context()); err != nil {
				failed.Add(1)
			}
			mu.Lock()
			defer mu.Unlock()
			_ = h.RecordValue(time.Since(scheduled).Microseconds())
		})
	}
	wg.Wait()
	return h, failed.Load()
}

// BenchmarkAddedTime compares calls through the daemon with the same calls made
// directly, in alternating rounds of one run at 2,000 requests per second.
func BenchmarkAddedTime(b *testing.B) {
	for _, cores := range []int{2, 4} {
		b.Run(fmt.Sprintf("cores=%d", cores), func(b *testing.B) { addedTime(b, newBench(b, cores)) })
	}
}

func addedTime(b *testing.B, bench *bench) {
	const rounds = 4
	client, err := invoke.New(invoke.Config{})
	require.NoError(b, err)
	direct := bench.direct(client)
	openLoop(b, arrivalRate, direct)
	openLoop(b, arrivalRate, bench.throughDaemon)
	b.ResetTimer()
	through := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	without := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	for range rounds {
		n := max(b.N/rounds, 1)
		without.Merge(openLoop(b, n, direct))
		through.Merge(openLoop(b, n, bench.throughDaemon))
	}
	for name, q := range map[string]float64{
		"median": 50,
		"p99":    99,
	} {
		with, base := through.ValueAtQuantile(q), without.ValueAtQuantile(q)
		b.ReportMetric(float64(with-base), "added-"+name+"-us")
		b.ReportMetric(float64(base), "direct-"+name+"-us")
		b.ReportMetric(float64(with)/float64(base), "ratio-"+name)
	}
}

// BenchmarkThroughput measures the closed-loop throughput of one daemon on two cores
// with 64 workers.
func BenchmarkThroughput(b *testing.B) {
	bench := newBench(b, 2)
	var next, failed atomic.Int64
	before := usageOf(b, bench.daemon.Process.Pid)
	profile := bench.profile(b)
	defer profile()
	b.ResetTimer()
	began := time.Now()
	var wg sync.WaitGroup
	for range workers {
		wg.Go(func() {
			for next.Add(1) <= int64(b.N) {
				if bench.throughDaemon(b.Context()) != nil {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	after := usageOf(b, bench.daemon.Process.Pid)
	require.Zero(b, failed.Load(), "failed calls")
	b.ReportMetric(float64(b.N)/time.Since(began).Seconds(), "requests/s")
	b.ReportMetric(float64((after.cpu-before.cpu).Microseconds())/float64(b.N), "cpu-us/request")
	b.ReportMetric(float64(after.resident)/(1<<20), "resident-MiB")
}

// BenchmarkRest measures the CPU time and memory of a daemon that gets no requests.
func BenchmarkRest(b *testing.B) {
	bench := newBench(b, 2)
	time.Sleep(2 * time.Second)
	before := usageOf(b, bench.daemon.Process.Pid)
	time.Sleep(idleTime)
	after := usageOf(b, bench.daemon.Process.Pid)
	b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/idleTime.Seconds(), "%core")
	b.ReportMetric(float64(after.resident)/(1<<20), "resident-MiB")
	b.ReportMetric(0, "ns/op")
}
