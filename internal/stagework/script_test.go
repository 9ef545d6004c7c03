package stagework

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"

	"sequoiafork/internal/routing"
)

// TestScripts runs the scripts in testdata on a fake clock. "play" reads lines:
//
//	service NAME batch=N call=D item=D memory=BYTES lifetime=D
//	upstream NAME SERVICE dc=NAME factor=X limit=PER_SECOND [pauses] [mute] [full] [taken=BYTES]
//	job NAME at=D priority=N objective=D deadline=D remaining=D hold=D dc=NAME SERVICE:PIECES:BYTES[<STAGE] ...
//	mend NAME at=D
//	move all at=D
//
// and prints the calls of the upstreams and the outcomes of the jobs. A job holds its
// results for the duration hold, as an engine does until it has fetched them. An upstream
// that is "mute" never responds, one that is "full" rejects calls, and one with "taken"
// has memory in use by results of another process. "mend" ends these faults; "move" hands
// the jobs off to another scheduler. With the argument "quiet" only the jobs are printed.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var result string
			synctest.Test(t, func(t *testing.T) {
				p := newScriptRun(t)
				for _, command := range strings.Split(strings.TrimSpace(d.Input), "\n") {
					p.command(strings.Fields(command))
				}
				result = p.finish(d.HasArg("quiet"))
			})
			return result
		})
	})
}

// scriptRun is a running script.
type scriptRun struct {
	t         *testing.T
	fakes     *fakeUpstreams
	scheduler *Scheduler
	newOwner  *Scheduler // gets the jobs that are handed off
	services  []routing.Service
	upstreams []Upstream
	mu        sync.Mutex // guards sizes
	sizes     map[string]int64
	wg        sync.WaitGroup
}

func newScriptRun(t *testing.T) *scriptRun {
	f := &fakeUpstreams{
		began: time.Now(),
		list:  make(map[string]*fakeUpstream),
	}
	p := &scriptRun{
		t:     t,
		fakes: f,
		scheduler: New(Config{
			Invoker: f,
		}),
		newOwner: New(Config{
			Invoker: f,
		}),
		sizes: make(map[string]int64),
	}
	f.onLimit, f.onPause = p.scheduler.ObserveLimit, p.scheduler.ObservePause
	return p
}

// options parses words of the form key=value. A word without "=" is its own value.
func options(words []string) map[string]string {
	opts := make(map[string]string)
	for _, w := range words {
		key, value, ok := strings.Cut(w, "=")
		if !ok {
			value = key
		}
		opts[key] = value
	}
	return opts
}

func (p *scriptRun) duration(text string) time.Duration {
	if text == "" {
		return 0
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		p.t.Fatalf("ParseDuration(%q): %v", text, err)
	}
	return d
}

func (p *scriptRun) number(text string) int64 {
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		p.t.Fatalf("ParseInt(%q): %v", text, err)
	}
	return n
}

func (p *scriptRun) command(words []string) {
	opts := options(words[2:])
	switch words[0] {
	case "service":
		p.services = append(p.services, routing.Service{
			Name: words[1],
			Batch: &routing.BatchSpec{
				Concurrency:       1,
				MaxSize:           int(p.number(opts["batch"])),
				CallOverhead:      p.duration(opts["call"]),
				ItemTime:          p.duration(opts["item"]),
				ResultMemoryBytes: p.number(opts["memory"]),
				ResultLifetime:    p.duration(opts["lifetime"]),
			},
		})
		p.scheduler.SetServices(p.services)
		p.newOwner.SetServices(p.services)
	case "upstream":
		p.upstream(words[1], words[2], opts)
	case "mend":
		time.AfterFunc(p.duration(opts["at"]), func() {
			p.fakes.mu.Lock()
			defer p.fakes.mu.Unlock()
			s := p.fakes.list[words[1]]
			s.factor, s.unresponsive, s.full = 1, false, false
		})
	case "move":
		time.AfterFunc(p.duration(opts["at"]), p.scheduler.HandOffJobs)
	case "job":
		p.job(words[1], words[2:], opts)
	default:
		p.t.Fatalf("unknown line %q", words)
	}
}

func (p *scriptRun) upstream(name, service string, opts map[string]string) {
	p.addUpstream(name, service, opts)
	p.setUpstreams()
}

// setUpstreams gives the schedulers the upstreams that were added.
func (p *scriptRun) setUpstreams() {
	p.scheduler.SetUpstreams(p.upstreams)
	p.newOwner.SetUpstreams(p.upstreams)
}

// addUpstream adds an upstream that the schedulers do not know yet.
func (p *scriptRun) addUpstream(name, service string, opts map[string]string) {
	i := slices.IndexFunc(p.services, func(s routing.Service) bool { return s.Name == service })
	spec := p.services[i].Batch
	factor := 1.0
	if opts["factor"] != "" {
		factor, _ = strconv.ParseFloat(opts["factor"], 64)
	}
	limit := 0.0
	if opts["limit"] != "" {
		limit, _ = strconv.ParseFloat(opts["limit"], 64)
	}
	s := &fakeUpstream{
		limit:        limit,
		turn:         make(chan struct{}, 1),
		callTime:     spec.CallOverhead,
		itemTime:     spec.ItemTime,
		lifetime:     spec.ResultLifetime,
		memory:       spec.ResultMemoryBytes,
		held:         make(map[string]int64),
		factor:       factor,
		unresponsive: opts["mute"] != "",
		full:         opts["full"] != "",
		pauses:       opts["pauses"] != "",
		sizes: func(it Item) int64 {
			p.mu.Lock()
			defer p.mu.Unlock()
			return p.sizes[fmt.Sprintf("%s/%d", it.RequestID, it.Stage)]
		},
	}
	if n := p.number(opts["taken"]); n > 0 {
		s.held["before"] = n
		time.AfterFunc(spec.ResultLifetime, func() {
			p.fakes.expire(s, []ItemResult{
				{
					Handle: "before",
				},
			})
		})
	}
	p.fakes.mu.Lock()
	p.fakes.list[name] = s
	p.fakes.mu.Unlock()
	p.upstreams = append(p.upstreams, Upstream{
		Incarnation: name,
		Addr:        name,
		DataCentre:  opts["dc"],
		Service:     service,
	})
}

func (p *scriptRun) job(name string, words []string, opts map[string]string) {
	j := Job{
		RequestID:       name,
		InputKey:        "k",
		Priority:        int(p.number(opts["priority"])),
		TimeAfterStages: p.duration(opts["remaining"]),
		DataCentre:      opts["dc"],
	}
	for _, w := range words {
		if !strings.Contains(w, ":") {
			continue
		}
		spec, after, chained := strings.Cut(w, "<")
		f := strings.Split(spec, ":")
		st := Stage{
			Service:     f[0],
			Pieces:      int(p.number(f[1])),
			ResultBytes: p.number(f[2]),
		}
		if chained {
			st.DependsOn = []int{int(p.number(after))}
		}
		p.mu.Lock()
		p.sizes[fmt.Sprintf("%s/%d", name, len(j.Stages))] = st.ResultBytes
		p.mu.Unlock()
		j.Stages = append(j.Stages, st)
	}
	at, hold := p.duration(opts["at"]), p.duration(opts["hold"])
	j.SoftDeadline = p.fakes.began.Add(at + p.duration(opts["objective"]))
	j.Deadline = p.fakes.began.Add(at + p.duration(opts["deadline"]))
	const patienceFactor = 4 // Callers wait that many times their objective.
	j.Patience = p.fakes.began.Add(at + patienceFactor*p.duration(opts["objective"]))
	p.wg.Go(func() {
		time.Sleep(at)
		p.run(p.scheduler, j, hold)
	})
}

func (p *scriptRun) run(s *Scheduler, j Job, hold time.Duration) {
	submitted, err := s.Submit(j)
	if err != nil {
		p.fakes.tracef("job %s rejected: %s", j.RequestID, p.errorText(err))
		return
	}
	defer submitted.Release()
	handles, err := submitted.Wait(p.t.Context())
	var ownerChanged *OwnerChangedError
	if errors.As(err, &ownerChanged) {
		j.Results, _ = submitted.Results(0)
		p.fakes.tracef("job %s handed off with %d results", j.RequestID, len(j.Results))
		p.run(p.newOwner, j, hold)
		return
	}
	if err != nil {
		p.fakes.tracef("job %s failed: %s", j.RequestID, p.errorText(err))
		return
	}
	late := ""
	if time.Now().Add(j.TimeAfterStages).After(j.SoftDeadline) {
		late = ", late"
	}
	p.fakes.tracef("job %s done with %d results%s", j.RequestID, len(handles), late)
	time.Sleep(hold)
}

func (p *scriptRun) errorText(err error) string {
	var rejected *RejectedError
	if errors.As(err, &rejected) {
		return fmt.Sprintf("retry after %v", rejected.RetryAfter.Round(10*time.Millisecond))
	}
	return err.Error()
}

// finish waits for the jobs and for every result to be freed or to expire, and returns the
// trace.
func (p *scriptRun) finish(quiet bool) string {
	p.wg.Wait()
	time.Sleep(10 * time.Second)
	synctest.Wait()
	for name, s := range p.fakes.list {
		if len(s.held) > 0 {
			p.fakes.tracef("%s still holds %d results", name, len(s.held))
		}
	}
	if n := p.scheduler.Len() + p.newOwner.Len(); n > 0 {
		p.fakes.tracef("%d jobs left", n)
	}
	slices.Sort(p.fakes.trace) // Events of the same instant have no defined order.
	var out []string
	for _, line := range p.fakes.trace {
		if !quiet || !strings.Contains(line, " begins ") {
			out = append(out, line)
		}
	}
	return strings.Join(out, "\n") + fmt.Sprintf("\n%d calls, worked %v, %d without memory\n", p.fakes.calls, p.fakes.worked, p.fakes.noMemory)
}
