package streamorigin

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

// TestNoStreamChangesItsVersion guards against a daemon that lets a stream go on at another version than the one that
// began it, whatever daemons die, also all at once, stand still, lose each other, learn late of a version or can't read
// the list of upstreams.
func TestNoStreamChangesItsVersion(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		var violation error // Rapid can't fail within the bubble.
		synctest.Test(t, func(*testing.T) {
			m := &model{
				cluster:  newCluster("a", "b", "c", "d", "e", "f"),
				listedAt: make(map[string]time.Time),
			}
			m.cluster.list([]string{"v1"})
			m.cluster.record()
			m.noteListed()
			rt.Repeat(map[string]func(*rapid.T){
				"list":     m.list,
				"begin":    m.begin,
				"announce": func(*rapid.T) { m.cluster.announce() },
				"record":   func(*rapid.T) { m.cluster.record() },
				"disturb":  m.disturb,
				"lose all": m.loseAll,
				"cut":      m.cut,
				"advance":  m.advance,
				"resume":   m.resume,
			})
			violation = m.violation
		})
		if violation != nil {
			rt.Fatal(violation)
		}
	})
}

const (
	// afterlife is how long an upstream serves after it was removed from the list, to daemons that can't read it.
	afterlife = 10 * time.Second
	// comeBack is how long after its beginning a stream is taken up.
	comeBack = testRetention - afterlife
)

// model knows where each stream began.
type model struct {
	cluster *cluster
	streams []modelStream
	begun   int
	// listedAt is when a version was last listed.
	listedAt  map[string]time.Time
	violation error
}

type modelStream struct {
	id      string
	version string
	begunAt time.Time
}

// list changes the list of upstreams. Some daemons learn of it at once, and one of them records the versions.
func (m *model) list(t *rapid.T) {
	versions := rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"v1", "v2", "v3"}), 1, 2, rapid.ID).Draw(t, "versions")
	first := m.running(t)
	if first.blind {
		t.Skip("no daemon learns of it")
	}
	m.noteListed()
	m.cluster.setListed(versions)
	m.cluster.observe(first)
	for _, d := range m.cluster.daemons {
		if rapid.Bool().Draw(t, "learns") {
			m.cluster.observe(d)
		}
	}
	m.cluster.record()
	m.noteListed()
}

// loseAll ends all daemons at once and starts them again.
func (m *model) loseAll(t *rapid.T) {
	for _, d := range m.cluster.daemons {
		d.down, d.frozen, d.blind = true, false, false
	}
	m.cluster.advance(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
	for _, d := range m.cluster.daemons {
		d.down = false
		m.cluster.restart(d)
		m.cluster.observe(d)
	}
}

func (m *model) noteListed() {
	for _, o := range m.cluster.listed {
		m.listedAt[o.Version] = time.Now()
	}
}

// begin begins a stream at a version that a daemon sees.
func (m *model) begin(t *rapid.T) {
	m.noteListed()
	d := m.running(t)
	serving := slices.DeleteFunc(slices.Clone(d.seen), func(o Origin) bool { return time.Since(m.listedAt[o.Version]) > afterlife })
	if len(serving) == 0 {
		t.Skip("no upstream serves")
	}
	s := modelStream{
		id:      fmt.Sprint("r", m.begun),
		version: rapid.SampledFrom(serving).Draw(t, "version").Version,
		begunAt: time.Now(),
	}
	d.table.Begin(s.id, Origin{
		Service: "s",
		Version: s.version,
	})
	m.begun++
	m.streams = append(m.streams, s)
}

// running returns a daemon that runs.
func (m *model) running(t *rapid.T) *testDaemon {
	var list []*testDaemon
	for _, d := range m.cluster.daemons {
		if !d.down && !d.frozen && len(d.seen) > 0 {
			list = append(list, d)
		}
	}
	if len(list) == 0 {
		t.Skip("no daemon runs")
	}
	return rapid.SampledFrom(list).Draw(t, "daemon")
}

// disturb changes the state of a daemon.
func (m *model) disturb(t *rapid.T) {
	d := rapid.SampledFrom(m.cluster.daemons).Draw(t, "daemon")
	switch rapid.SampledFrom([]string{"kill", "freeze", "blind"}).Draw(t, "how") {
	case "kill":
		d.down = !d.down
		d.frozen, d.blind = false, false
		m.cluster.restart(d)
	case "freeze":
		d.frozen = !d.frozen
		return // It goes on with what it knew.
	case "blind":
		d.blind = !d.blind
		d.table.SetReadable(!d.blind)
	}
	m.cluster.observe(d)
	if !d.down {
		m.cluster.welcome(d)
	}
}

func (m *model) cut(t *rapid.T) {
	a := rapid.SampledFrom(m.cluster.daemons).Draw(t, "a")
	b := rapid.SampledFrom(m.cluster.daemons).Draw(t, "b")
	m.cluster.connect(a.name, b.name, rapid.Bool().Draw(t, "heal"))
}

func (m *model) advance(t *rapid.T) {
	m.cluster.advance(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond)
}

// resume takes a stream up for which its caller may come back.
func (m *model) resume(t *rapid.T) {
	m.streams = slices.DeleteFunc(m.streams, func(s modelStream) bool { return time.Since(s.begunAt) > comeBack })
	if len(m.streams) == 0 {
		t.Skip("no stream")
	}
	s := rapid.SampledFrom(m.streams).Draw(t, "stream")
	d := m.running(t)
	id := s.id
	if rapid.IntRange(0, 4).Draw(t, "named") == 0 {
		id = ""
	}
	o, err := m.cluster.resume(d.name, id)
	if err == nil && o.Version != s.version {
		m.violation = fmt.Errorf("the stream %s began at %s and goes on at %s", s.id, s.version, o.Version)
	}
}
