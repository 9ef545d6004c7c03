package perf

import (
	"bufio"
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const standinCores = 2

var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "perf")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "sequoiafork/cmd/sequoiaforkd", "sequoiafork/cmd/standin")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "%s%v\n", out, err)
		return 1
	}
	return m.Run()
}

// start starts a binary with GOMAXPROCS set to cores and returns the first line of its
// output that contains marker. The process is killed at the end of the test.
func start(tb testing.TB, cores int, marker, name string, args ...string) (*exec.Cmd, string) {
	tb.Helper()
	r, w, err := os.Pipe()
	require.NoError(tb, err)
	cmd := exec.Command(filepath.Join(binDir, name), args...)
	cmd.Env = append(os.Environ(), fmt.Sprintf("GOMAXPROCS=%d", cores))
	cmd.Stdout = w
	cmd.Stderr = w
	require.NoError(tb, cmd.Start())
	require.NoError(tb, w.Close())
	tb.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
		_ = r.Close()
	})
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		if line := scanner.Text(); strings.Contains(line, marker) {
			go func() {
				for scanner.Scan() {
				}
			}()
			return cmd, line
		}
	}
	require.FailNow(tb, "process ended early", "%s %v", name, args)
	return nil, ""
}

func startStandin(tb testing.TB, args ...string) string {
	_, line := start(tb, standinCores, "listening ", "standin", args...)
	return strings.TrimPrefix(line, "listening ")
}

func put(tb testing.TB, url, body string) {
	tb.Helper()
	req, err := http.NewRequest(http.MethodPut, url, strings.NewReader(body))
	require.NoError(tb, err)
	req.Header.Set("Content-Type", "application/json")
	res, err := http.DefaultClient.Do(req)
	require.NoError(tb, err)
	defer res.Body.Close()
	var buf bytes.Buffer
	_, _ = buf.ReadFrom(res.Body)
	require.Less(tb, res.StatusCode, http.StatusMultipleChoices, "PUT %s: %s", url, buf.String())
}

// usage is the CPU time and resident memory of a process.
type usage struct {
	cpu      time.Duration
	resident int64
}

// usageOf reads the usage of a process from /proc.
func usageOf(tb testing.TB, pid int) usage {
	tb.Helper()
	const tick = time.Second / 100 // USER_HZ
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(tb, err)
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+2:]))
	user, err := strconv.ParseInt(fields[11], 10, 64)
	require.NoError(tb, err)
	system, err := strconv.ParseInt(fields[12], 10, 64)
	require.NoError(tb, err)
	pages, err := strconv.ParseInt(fields[21], 10, 64)
	require.NoError(tb, err)
	return usage{
		cpu:      time.Duration(user+system) * tick,
		resident: pages * int64(os.Getpagesize()),
	}
}
