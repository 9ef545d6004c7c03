package streamorigin

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestScripts runs the scripts of testdata/scripts on a cluster of daemons without a network.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/scripts", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := &cluster{}
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string { return c.run(t, d) })
		})
	})
}

const (
	testRetention = 40 * time.Second
	// observeInterval is how often a daemon observes the list of upstreams.
	observeInterval = 500 * time.Millisecond
)

// cluster is a number of daemons that read one list of upstreams, and a store that outlasts them.
type cluster struct {
	daemons []*testDaemon
	listed  []Origin
	cuts    []cut
	// origins and versions are what is recorded in the store.
	origins  []Record
	versions map[Origin]bool
}

// cut is a broken connection between two daemons.
type cut struct {
	a, b string
}

type testDaemon struct {
	name  string
	table *Table
	// down daemons neither answer nor observe; frozen ones keep their table. blind ones can't read the list.
	down, frozen, blind bool
	seen                []Origin
	// journal holds the first read of the recorded origins.
	journal *Journal
	read    int
}

func newCluster(names ...string) *cluster {
	c := &cluster{
		versions: make(map[Origin]bool),
	}
	for _, name := range names {
		c.daemons = append(c.daemons, &testDaemon{
			name:    name,
			table:   newTestTable(),
			journal: NewJournal(JournalConfig{}),
		})
	}
	return c
}

// restart gives a daemon an empty state. It reads which versions are recorded.
func (c *cluster) restart(m *testDaemon) {
	m.table = newTestTable()
	m.journal, m.read = NewJournal(JournalConfig{}), 0
	m.seen = nil
	c.learn(m)
}

// learn tells a daemon which versions are recorded, unless it can't read the store.
func (c *cluster) learn(m *testDaemon) {
	if m.down || m.frozen || m.blind || len(c.versions) == 0 {
		return
	}
	m.table.SetRecorded(slices.Collect(maps.Keys(c.versions)))
}

// record records what daemons that reach the store have to record.
func (c *cluster) record() {
	for _, m := range c.daemons {
		if m.down || m.frozen || m.blind {
			continue
		}
		m.table.SetRecorded(slices.Collect(maps.Keys(c.versions)))
		for _, e := range m.table.TakeUnrecorded() {
			c.origins = append(c.origins, RecordOf(e))
		}
		changes := m.table.Changes()
		for _, o := range changes.Record {
			c.versions[o] = true
		}
		for _, o := range changes.Drop {
			delete(c.versions, o)
		}
	}
	for _, m := range c.daemons {
		c.learn(m)
	}
}

func newTestTable() *Table {
	table := New(Config{
		Retention:  testRetention,
		MaxEntries: 1000,
	})
	table.SetServices([]string{"s"})
	return table
}

func (c *cluster) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "new":
		*c = *newCluster(strings.Fields(d.Input)...)
	case "list":
		c.list(strings.Fields(d.Input))
	case "advance":
		wait, err := time.ParseDuration(d.CmdArgs[0].Key)
		require.NoError(t, err)
		c.advance(wait)
	case "begin":
		var at, id, version string
		d.ScanArgs(t, "at", &at)
		d.ScanArgs(t, "id", &id)
		d.ScanArgs(t, "version", &version)
		c.daemon(at).table.Begin(id, Origin{
			Service: "s",
			Version: version,
		})
	case "announce":
		return fmt.Sprintf("messages: %d\n", c.announce())
	case "record":
		c.record()
		return fmt.Sprintf("recorded: %d versions, %d origins\n", len(c.versions), len(c.origins))
	case "relist": // A change of the list that only some daemons learn of.
		c.setListed(strings.Fields(d.Input))
		for _, arg := range d.CmdArgs {
			c.observe(c.daemon(arg.Key))
		}
	case "resume":
		var at, id string
		d.ScanArgs(t, "at", &at)
		d.MaybeScanArgs(t, "id", &id)
		return c.describe(at, id)
	case "cut", "heal":
		c.connect(d.CmdArgs[0].Key, d.CmdArgs[1].Key, d.Cmd == "heal")
	default:
		c.change(t, d)
	}
	return ""
}

// change changes the state of daemons.
func (c *cluster) change(t *testing.T, d *datadriven.TestData) {
	for _, arg := range d.CmdArgs {
		m := c.daemon(arg.Key)
		switch d.Cmd {
		case "kill":
			m.down = true
		case "restart":
			m.down = false
			c.restart(m)
			c.observe(m)
			c.welcome(m)
		case "stop":
			m.table.AnnounceAll()
		case "freeze", "wake":
			m.frozen = d.Cmd == "freeze"
		case "blind", "see":
			m.blind = d.Cmd == "blind"
			m.table.SetReadable(!m.blind)
			c.observe(m)
		default:
			t.Fatalf("unknown command %q", d.Cmd)
		}
	}
}

func (c *cluster) daemon(name string) *testDaemon {
	i := slices.IndexFunc(c.daemons, func(m *testDaemon) bool { return m.name == name })
	return c.daemons[i]
}

// list replaces the versions of the upstreams of service s, which all daemons learn at once.
func (c *cluster) list(versions []string) {
	c.setListed(versions)
	c.observeAll()
}

func (c *cluster) setListed(versions []string) {
	c.listed = nil
	for _, v := range versions {
		c.listed = append(c.listed, Origin{
			Service: "s",
			Version: v,
		})
	}
}

func (c *cluster) observeAll() {
	for _, m := range c.daemons {
		c.observe(m)
	}
}

func (c *cluster) observe(m *testDaemon) {
	if m.down || m.frozen {
		return
	}
	if !m.blind {
		m.seen = c.listed
	}
	m.table.ObserveUpstreams(m.seen)
}

func (c *cluster) advance(d time.Duration) {
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(min(observeInterval, time.Until(end)))
		c.observeAll()
	}
}

func (c *cluster) connect(a, b string, connected bool) {
	if !connected {
		c.cuts = append(c.cuts, cut{
			a: a,
			b: b,
		})
		return
	}
	c.cuts = slices.DeleteFunc(c.cuts, func(x cut) bool { return x.a == a && x.b == b || x.a == b && x.b == a })
}

func (c *cluster) reach(a, b *testDaemon) bool {
	broken := slices.ContainsFunc(c.cuts, func(x cut) bool { return x.a == a.name && x.b == b.name || x.a == b.name && x.b == a.name })
	return !broken && !b.down && !b.frozen
}

// living returns the names of the daemons that are not known to be dead.
func (c *cluster) living() []string {
	var names []string
	for _, m := range c.daemons {
		if !m.down {
			names = append(names, m.name)
		}
	}
	return names
}

// announce delivers what daemons have to announce, and returns the number of messages.
func (c *cluster) announce() int {
	sent := 0
	for _, m := range c.daemons {
		if m.down || m.frozen {
			continue
		}
		byPeer := make(map[string][]Entry)
		for _, e := range m.table.TakeUnannounced() {
			for _, name := range AnnounceTo(e.RequestID, m.name, c.living()) {
				byPeer[name] = append(byPeer[name], e)
			}
		}
		for name, list := range byPeer {
			sent++
			if peer := c.daemon(name); c.reach(m, peer) {
				peer.table.Receive(list)
			}
		}
	}
	return sent
}

// welcome delivers what the others tell a daemon that has joined.
func (c *cluster) welcome(newcomer *testDaemon) {
	for _, m := range c.daemons {
		if m != newcomer && !m.down && !m.frozen && c.reach(m, newcomer) {
			newcomer.table.Receive(m.table.EntriesFor(newcomer.name, m.name, c.living()))
		}
	}
}

// resume returns where a stream goes on that its caller takes up at a daemon. Without an ID the caller does not name it.
func (c *cluster) resume(at, id string) (Origin, error) {
	m := c.daemon(at)
	own := m.table.Ask(id, "s")
	var answers []Answer
	unanswered := 0
	for _, name := range AskOf(id, at, c.living()) {
		if peer := c.daemon(name); c.reach(m, peer) {
			answers = append(answers, peer.table.Ask(id, "s"))
		} else {
			unanswered++
		}
	}
	o, known := FindKnown(append(answers, own))
	var err error
	switch {
	case known:
	case len(c.versions) == 0:
		o, err = DecideByPeers("s", own, answers, unanswered)
	case m.blind:
		err = &UnknownError{
			Service: "s",
			Cause:   errors.New("the store can't be read"),
		}
	default:
		o, err = c.findRecorded(m, id, answers)
	}
	if err == nil && id != "" {
		m.table.Begin(id, o)
	}
	return o, err
}

// findRecorded reads what is recorded and listed now.
func (c *cluster) findRecorded(m *testDaemon, id string, answers []Answer) (Origin, error) {
	m.journal.Add(c.origins[m.read:], testRetention)
	m.read = len(c.origins)
	unread := slices.Clone(c.listed)
	for o := range c.versions {
		if !m.table.isRecorded(o) {
			unread = append(unread, o)
		}
	}
	m.table.NoteVersions(unread)
	if o, ok := m.journal.Find(id); ok {
		return o, nil
	}
	return DecideByRecords("s", m.table.Ask(id, "s"), answers)
}

func (c *cluster) describe(at, id string) string {
	o, err := c.resume(at, id)
	if err != nil {
		return err.Error() + "\n"
	}
	return "goes on at " + o.Version + "\n"
}
