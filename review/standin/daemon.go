package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

// daemon is a process of the project under test.
type daemon struct {
	front, ready, directory, operator, peer string

	program string
	path    string
	cmd     *exec.Cmd
	log     *os.File
	exited  chan error
}

// freeAddrs returns addresses on free ports.
func freeAddrs(n int) ([]string, error) {
	var addrs []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, nil
}

// settings is the text of the deployment's template with its values.
const settings = `[daemon]
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
ready_addr = %s
directory_addr = %s

[drain]
keep_answers = 1s
grace = 8s

[retry]
ratio = 0.2
burst = 56
`

// startTries is how often a daemon is started on other ports, since a port may be taken in between.
const startTries = 3

// startDaemon starts a process with the command of the deploy file and waits until it is ready.
func startDaemon(program, dir, name, zone string, st *store) (*daemon, error) {
	for try := 1; ; try++ {
		d, err := tryDaemon(program, dir, name, zone, st)
		if d == nil || err == nil || try == startTries || len(d.exited) == 0 {
			return d, err
		}
	}
}

func tryDaemon(program, dir, name, zone string, st *store) (*daemon, error) {
	addrs, err := freeAddrs(5)
	if err != nil {
		return nil, err
	}
	d := &daemon{
		front:     addrs[0],
		ready:     addrs[1],
		directory: addrs[2],
		operator:  addrs[3],
		peer:      addrs[4],
		program:   program,
		exited:    make(chan error, 1),
	}
	path := filepath.Join(dir, name+".ini")
	text := fmt.Sprintf(settings, zone, d.front, d.operator, d.peer, d.peer, st.addr, d.ready, d.directory)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(dir, name+".log")); err != nil {
		return nil, err
	}
	d.path = path
	if err := d.run(); err != nil {
		return nil, err
	}
	return d, d.awaitReady()
}

// run starts the process, for the first time or again after it has ended.
func (d *daemon) run() error {
	d.cmd = exec.Command(d.program, "-config", d.path)
	d.cmd.Stdout, d.cmd.Stderr = d.log, d.log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	cmd := d.cmd
	go func() { d.exited <- cmd.Wait() }()
	return nil
}

func (d *daemon) awaitReady() error {
	client := &http.Client{
		Timeout: time.Second,
	}
	for range 100 {
		if len(d.exited) > 0 {
			return fmt.Errorf("%s has ended at its start", d.program)
		}
		if res, err := client.Get("http://" + d.ready + "/readyz"); err == nil {
			res.Body.Close()
			if res.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready after 5 s", d.program)
}

// kill ends the process.
func (d *daemon) kill() {
	_ = d.cmd.Process.Kill()
}
