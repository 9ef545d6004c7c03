package e2e

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const (
	startTimeout = 10 * time.Second
	tailLines    = 40
)

// process is a child process of the test, which kills it by its process id.
type process struct {
	cmd   *exec.Cmd
	lines chan string
	done  chan struct{}

	mu          sync.Mutex
	tail        []string
	crashOutput []string // Reports of the race detector, panics and fatal errors.
}

// startProcess starts a binary and kills it when the test ends. Its standard output
// and error go to lines. If the test fails and E2E_LOGS is set, the last lines are logged.
func startProcess(t *testing.T, name string, args ...string) *process {
	t.Helper()
	r, w, err := os.Pipe()
	require.NoError(t, err)
	p := &process{
		cmd:   exec.Command(filepath.Join(binDir, name), args...),
		lines: make(chan string, 64),
		done:  make(chan struct{}),
	}
	p.cmd.Stdout = w
	p.cmd.Stderr = w
	require.NoError(t, p.cmd.Start())
	require.NoError(t, w.Close())
	go p.read(r)
	t.Cleanup(func() {
		p.kill()
		require.Empty(t, p.crashReport(), "the process reported a data race, a panic or a fatal error")
		if t.Failed() && os.Getenv("E2E_LOGS") != "" {
			t.Logf("last lines of %s %s:\n%s", name, strings.Join(args, " "), strings.Join(p.lastLines(), "\n"))
		}
	})
	return p
}

func (p *process) read(r io.ReadCloser) {
	defer close(p.done)
	defer r.Close()
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		p.mu.Lock()
		p.tail = append(p.tail, scanner.Text())
		if len(p.crashOutput) > 0 || isCrashReport(scanner.Text()) {
			p.crashOutput = append(p.crashOutput, scanner.Text())
		}
		if len(p.tail) > tailLines {
			p.tail = p.tail[1:]
		}
		p.mu.Unlock()
		select {
		case p.lines <- scanner.Text():
		default:
		}
	}
}

// isCrashReport reports whether a line begins a report of a data race, a panic or a
// fatal error.
func isCrashReport(line string) bool {
	return strings.HasPrefix(line, "WARNING: DATA RACE") || strings.HasPrefix(line, "panic: ") ||
		strings.HasPrefix(line, "fatal error: ")
}

func (p *process) crashReport() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.crashOutput, "\n")
}

func (p *process) lastLines() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.tail
}

// waitLine returns the first line of output that match accepts.
func (p *process) waitLine(t *testing.T, match func(string) bool) string {
	t.Helper()
	line, ok := p.findLine(t, match)
	if !ok {
		require.FailNow(t, "the process ended early", "%s:\n%s", p.cmd.Args, strings.Join(p.lastLines(), "\n"))
	}
	return line
}

// findLine returns the first line of output that match accepts, or false if the process
// ended before printing one.
func (p *process) findLine(t *testing.T, match func(string) bool) (string, bool) {
	t.Helper()
	timeout := time.After(startTimeout)
	for {
		select {
		case line := <-p.lines:
			if match(line) {
				return line, true
			}
		case <-p.done:
			return "", false
		case <-timeout:
			require.FailNow(t, "the process is not ready", "%s:\n%s", p.cmd.Args, strings.Join(p.lastLines(), "\n"))
		}
	}
}

// kill ends the process with SIGKILL, even while it is suspended.
func (p *process) kill() {
	if p.cmd.ProcessState != nil {
		return
	}
	_ = p.cmd.Process.Kill()
	<-p.done
	_ = p.cmd.Wait()
}

// suspend sends SIGSTOP and waits until every thread of the process is stopped.
func (p *process) suspend(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGSTOP))
	if !assert.Eventually(t, p.stopped, startTimeout, time.Millisecond) {
		require.FailNow(t, "the process is not suspended", "ended: %t, threads: %s, last lines:\n%s", p.ended(), p.threadStates(), strings.Join(p.lastLines(), "\n"))
	}
}

// threadStates returns the states of the process's threads, a letter each.
func (p *process) threadStates() string {
	states := ""
	threads, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if _, state, ok := bytes.Cut(stat, []byte(") ")); err == nil && ok && len(state) > 0 {
			states += string(state[:1])
		}
	}
	return states
}

// stopped reports whether every thread of the process is stopped.
func (p *process) stopped() bool {
	threads, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.cmd.Process.Pid))
	if err != nil || len(threads) == 0 {
		return false
	}
	for _, thread := range threads {
		stat, err := os.ReadFile(thread)
		if err != nil || !bytes.Contains(stat, []byte(") T ")) {
			return false
		}
	}
	return true
}

func (p *process) resume(t *testing.T) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(syscall.SIGCONT))
}
