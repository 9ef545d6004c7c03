// Command reviewcase plays one case of the review: it starts stand-ins of the platform, of servers and of clients, and
// the project's daemons as separate processes, and checks one rule by what clients and servers see.
//
//	reviewcase -case stage-copies -daemon target/sequoiaforkd -record record.txt
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitCannot = 2
)

// world is what a case runs in.
type world struct {
	*record
	program string
	dir     string
	trouble bool
	daemons []*daemon
}

// cases are the cases by name. Each returns what broke the rule, one line each.
var cases = map[string]func(*world) ([]string, error){
	"crash-evidence":  crashEvidence,
	"large-bodies":    largeBodies,
	"last-key":        lastKey,
	"rush-after-kill": rushAfterKill,
	"reload-in-stop":  reloadInStop,
	"stage-copies":    stageCopies,
}

func main() {
	name := flag.String("case", "", "name of the case")
	program := flag.String("daemon", "target/sequoiaforkd", "program under test")
	path := flag.String("record", "record.txt", "file to write")
	flag.Parse()
	os.Exit(run(*name, *program, *path))
}

func run(name, program, path string) int {
	play, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitCannot
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	defer file.Close()
	dir, err := os.MkdirTemp("", "reviewcase")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannot
	}
	w := &world{
		record: &record{
			began: time.Now(),
			w:     file,
		},
		program: program,
		dir:     dir,
		trouble: os.Getenv("TROUBLE") != "0",
	}
	if os.Getenv("KEEP_LOGS") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs in", dir)
	}
	defer w.end()
	broken, err := play(w)
	if err != nil {
		w.line("the case could not run: %v", err)
		fmt.Println("the case could not run:", err)
		return exitCannot
	}
	for _, b := range broken {
		w.line("BROKEN %s", b)
	}
	if len(broken) > 0 {
		fmt.Printf("broken %d times, the first: %s\n", len(broken), broken[0])
		return exitBroken
	}
	w.line("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// start starts a daemon.
func (w *world) start(name, zone string, st *store) (*daemon, error) {
	d, err := startDaemon(w.program, w.dir, name, zone, st)
	if d != nil && d.cmd != nil {
		w.daemons = append(w.daemons, d)
	}
	return d, err
}

// end ends all processes that were started.
func (w *world) end() {
	for _, d := range w.daemons {
		if d.cmd.Process != nil {
			d.kill()
		}
	}
}
