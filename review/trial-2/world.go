//go:build review2

// Command trial-2 plays the cases of the second review. It starts the daemons as separate processes on loopback
// addresses and plays the platform's store, the servers and the requesters itself.
package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"sequoiafork/platform/standin"
)

// record is the file record.txt.
type record struct {
	mu         sync.Mutex
	file       *os.File
	began      time.Time
	violations int
}

func newRecord(path string) *record {
	f, err := os.Create(path)
	if err != nil {
		cannotRun(err)
	}
	return &record{
		file:  f,
		began: time.Now(),
	}
}

// add writes one line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f "+format+"\n", append([]any{time.Since(r.began).Seconds()}, args...)...)
}

// violate writes a line about a broken rule.
func (r *record) violate(format string, args ...any) {
	r.mu.Lock()
	r.violations++
	r.mu.Unlock()
	r.add("BROKEN "+format, args...)
}

// cannotRun ends the trial with the exit code for a case that couldn't run.
func cannotRun(err error) {
	fmt.Fprintln(os.Stderr, "the case could not run:", err)
	stopAll()
	os.Exit(2)
}

// daemon is a sequoiaforkd process.
type daemon struct {
	index                                      int
	zone                                       string
	front, ready, control, directory, operator string
	path                                       string
	cmd                                        *exec.Cmd
	done                                       chan struct{}
	log                                        *os.File
}

var (
	allMu sync.Mutex
	all   []*daemon
)

// stopAll kills all daemons that are left.
func stopAll() {
	allMu.Lock()
	defer allMu.Unlock()
	for _, d := range all {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			select {
			case <-d.done:
			case <-time.After(3 * time.Second):
			}
		}
	}
}

// freeAddrs returns n free addresses of a loopback host.
func freeAddrs(host string, n int) []string {
	var list []string
	for range n {
		l, err := net.Listen("tcp", net.JoinHostPort(host, "0"))
		if err != nil {
			cannotRun(err)
		}
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list
}

// world is a deployment.
type world struct {
	rec     *record
	dir     string
	store   *standin.Store
	daemons []*daemon
	rng     *rand.Rand
	rngMu   sync.Mutex
	// sent holds the class of each request.
	sent sync.Map
}

func (w *world) random() float64 {
	w.rngMu.Lock()
	defer w.rngMu.Unlock()
	return w.rng.Float64()
}

func newWorld(folder string, zones []string) *world {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		cannotRun(err)
	}
	store, err := standin.NewStore(len(zones))
	if err != nil {
		cannotRun(err)
	}
	w := &world{
		rec:   newRecord(filepath.Join(folder, "record.txt")),
		dir:   dir,
		store: store,
		rng:   rand.New(rand.NewSource(time.Now().UnixNano())),
	}
	for i, zone := range zones {
		a := freeAddrs(fmt.Sprintf("127.0.%d.%d", 10+os.Getpid()%200, i+1), 5)
		w.daemons = append(w.daemons, &daemon{
			index:     i,
			zone:      zone,
			front:     a[0],
			ready:     a[1],
			control:   a[2],
			directory: a[3],
			operator:  a[4],
			path:      filepath.Join(dir, fmt.Sprintf("daemon-%d.ini", i)),
		})
	}
	return w
}

// settings fills the template deploy/sequoiaforkd.ini as the platform does for a small deployment.
func (w *world) settings(d *daemon) string {
	var seeds []string
	for _, o := range w.daemons[:min(3, len(w.daemons))] {
		seeds = append(seeds, o.control)
	}
	return fmt.Sprintf(`[daemon]
data_centre = %s
caller_addr = %s
operator_addr = %s
peer_addr = %s
cores = 0.608

[peers]
seeds = %s

[platform]
kind = keyed_log
store_addr = %s
store_writes_per_second = 400
ready_addr = %s
directory_addr = %s

[drain]
keep_answers = 1s
grace = 8s

[retry]
ratio = 0.2
burst = 56

[upstreams]
`, d.zone, d.front, d.operator, d.control, strings.Join(seeds, ","), w.store.Addr(d.index), d.ready, d.directory)
}

// start starts a daemon with the command of the deploy file, but for the path of the settings.
func (w *world) start(d *daemon) {
	if err := os.WriteFile(d.path, []byte(w.settings(d)), 0o600); err != nil {
		cannotRun(err)
	}
	log, err := os.OpenFile(filepath.Join(w.dir, fmt.Sprintf("daemon-%d.log", d.index)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun(err)
	}
	cmd := exec.Command("target/sequoiaforkd", "-config", d.path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		cannotRun(err)
	}
	done := make(chan struct{})
	go func() {
		err := cmd.Wait()
		w.rec.add("daemon %d has ended: %v", d.index, err)
		close(done)
	}()
	allMu.Lock()
	d.cmd, d.done, d.log = cmd, done, log
	allMu.Unlock()
	w.rec.add("daemon %d started", d.index)
}

// startAll starts all daemons and waits until they are ready.
func (w *world) startAll() {
	allMu.Lock()
	all = append(all, w.daemons...)
	allMu.Unlock()
	for _, d := range w.daemons {
		w.start(d)
	}
	deadline := time.Now().Add(15 * time.Second)
	for _, d := range w.daemons {
		for !d.isReady() {
			if time.Now().After(deadline) {
				cannotRun(fmt.Errorf("daemon %d is not ready", d.index))
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(3 * time.Second)
}

// finish ends all processes and exits with the code of the result.
func (w *world) finish() {
	stopAll()
	w.store.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	} else {
		fmt.Println("logs:", w.dir)
	}
	w.rec.add("broken: %d times", w.rec.violations)
	fmt.Println("broken:", w.rec.violations, "times")
	if w.rec.violations > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

// put writes a record of the operator or of a server.
func (w *world) put(topic, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		cannotRun(err)
	}
	w.store.Put(topic, key, raw)
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

func trouble() bool { return os.Getenv("TROUBLE") != "0" }

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: trial-2 CASE FOLDER")
		os.Exit(2)
	}
	play, ok := cases[os.Args[1]]
	if !ok {
		cannotRun(fmt.Errorf("unknown case %s", os.Args[1]))
	}
	play(os.Args[2])
}
