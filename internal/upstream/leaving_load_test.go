package upstream_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
)

const (
	// drainBound is the users' bound: a daemon that has had a response that says that the upstream leaves
	// sends it no request later than that.
	drainBound = 2 * time.Second
	// leavesAt is when the upstreams begin to leave, and expiryTime how long their entries outlive them.
	leavesAt   = 5 * time.Second
	expiryTime = 3600 * time.Millisecond
)

// TestUpstreamsThatSayThatTheyLeave guards against requests to upstreams that have said in their responses
// that they leave, and that are cut when these exit. The store lists them as live until their entries expire.
func TestUpstreamsThatSayThatTheyLeave(t *testing.T) {
	datadriven.Walk(t, "testdata/leaving", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			grace := scanDuration(t, d, "grace", 0)
			l, before := playLeaving(t, d, grace, true), playLeaving(t, d, grace, false)
			return fmt.Sprintf("requests after the bound: %d, before %d\n", l.afterBound(), before.afterBound()) + l.compare(before)
		})
	})
}

func playLeaving(t *testing.T, d *datadriven.TestData, grace time.Duration, informed bool) *load {
	l := &load{
		informed: informed,
	}
	l.scan(t, d)
	l.play(t, func(l *load) {
		time.Sleep(leavesAt)
		for _, p := range l.affectedProcesses() {
			p.setLeaving()
		}
		time.Sleep(grace)
		for _, p := range l.affectedProcesses() {
			close(p.gone)
		}
		time.Sleep(expiryTime)
		for _, p := range l.affectedProcesses() {
			l.store.remove(p)
		}
		l.applyAll()
	})
	return l
}

// afterBound returns the number of requests that daemons sent later than drainBound after they had learned from
// a response that the upstream leaves.
func (l *load) afterBound() int {
	n := 0
	for _, a := range l.arrivals {
		for _, said := range l.arrivals {
			if said.saidLeaving && said.daemon == a.daemon && said.addr == a.addr && a.sentAt.Sub(said.doneAt) > drainBound {
				n++
				break
			}
		}
	}
	return n
}
