package fold_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/fold"
	"sequoiafork/internal/table"
)

// script runs the commands of a data file against one machine. A record is applied at
// the next offset unless offset= is given. time= is the record's time in seconds.
type script struct {
	t       *testing.T
	machine *fold.StateMachine
	// saved holds snapshots by name.
	saved map[string][]byte
}

func TestRules(t *testing.T) {
	datadriven.Walk(t, "testdata/rules", func(t *testing.T, path string) {
		s := &script{
			t:       t,
			machine: fold.New(fold.Config{}),
			saved:   make(map[string][]byte),
		}
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			return s.run(d)
		})
	})
}

func (s *script) run(d *datadriven.TestData) string {
	arg := func(name string) string {
		var value string
		d.MaybeScanArgs(s.t, name, &value)
		return value
	}
	switch d.Cmd {
	case "pool":
		return s.edit(arg, table.SetPool{
			Pool: table.Pool{
				Name:        arg("name"),
				Kind:        table.KindReranker,
				Service:     "rank",
				Concurrency: int(number(arg("concurrency"))),
			},
		})
	case "route":
		return s.edit(arg, table.SetRoute{
			Route: table.Route{
				Name:     arg("name"),
				Deadline: time.Second,
				Stages: []table.Stage{{
					Name: "one",
					Pool: arg("on"),
				}},
			},
		})
	case "delete_pool":
		return s.edit(arg, table.DeletePool{
			Name: arg("name"),
		})
	case "claim":
		return s.claim(arg)
	case "lease":
		return s.lease(arg, d.HasArg("release"))
	case "raw":
		return s.apply(arg, []byte(d.Input))
	case "save":
		data, err := s.machine.Snapshot("writer")
		require.NoError(s.t, err)
		s.saved[arg("as")] = data
		return ""
	case "append_saved":
		return s.apply(arg, s.savedSnapshot(arg))
	case "restore":
		if d.HasArg("new") {
			s.machine = fold.New(fold.Config{})
		}
		if err := s.machine.Restore(s.savedSnapshot(arg)); err != nil {
			return fmt.Sprintf("%T\n", err) + s.state()
		}
	}
	return s.state()
}

// number parses a decimal number. Missing or malformed text counts as zero.
func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

// savedSnapshot returns a saved snapshot. If flip= is given, one bit is flipped in the
// first byte of that text.
func (s *script) savedSnapshot(arg func(string) string) []byte {
	data := []byte(string(s.saved[arg("as")]))
	if at := arg("flip"); at != "" {
		i := strings.Index(string(data), at)
		require.Positive(s.t, i)
		data[i] ^= 1
	}
	return data
}

func (s *script) edit(arg func(string) string, change table.Change) string {
	id := arg("id")
	data, err := fold.EncodeEdit(table.Edit{
		ID:           id,
		BaseRevision: number(arg("base")),
		Change:       change,
	})
	require.NoError(s.t, err)
	if out := s.apply(arg, data); out != "" {
		return out
	}
	o, ok := s.machine.Edit(id)
	return fmt.Sprintf("known=%v offset=%d accepted=%v conflict=%v %s\n", ok, o.Offset, o.Accepted, o.Conflict, o.Reason)
}

func (s *script) claim(arg func(string) string) string {
	var claims []fold.Claim
	for _, key := range strings.Split(arg("keys"), "+") {
		claims = append(claims, fold.Claim{
			KeyHash: fold.KeyHash{key[0]},
			Owner:   arg("owner"),
		})
	}
	data, err := fold.EncodeClaims(claims)
	require.NoError(s.t, err)
	out := s.apply(arg, data)
	for _, c := range claims {
		got, ok := s.machine.Claim(c.KeyHash)
		out += fmt.Sprintf("%c known=%v owner=%s offset=%d\n", c.KeyHash[0], ok, got.Owner, got.Offset)
	}
	return out
}

func (s *script) lease(arg func(string) string, release bool) string {
	data, err := fold.EncodeLease(fold.LeaseRequest{
		Name:         "l",
		Holder:       arg("holder"),
		TTL:          time.Duration(number(arg("ttl"))) * time.Second,
		FencingToken: number(arg("fencing")),
		Release:      release,
	})
	require.NoError(s.t, err)
	out := s.apply(arg, data)
	l, ok := s.machine.Lease("l")
	if !ok {
		return out + "free\n"
	}
	return out + fmt.Sprintf("holder=%s fencing=%d expires=%d\n", l.Holder, l.FencingToken, l.Expires.Unix())
}

func (s *script) apply(arg func(string) string, data []byte) string {
	offset := s.machine.NextOffset()
	if o := arg("offset"); o != "" {
		offset = number(o)
	}
	if err := s.machine.Apply(offset, int64(number(arg("time")))*1000, data); err != nil {
		return err.Error() + "\n"
	}
	return ""
}

func (s *script) state() string {
	t := s.machine.Tables()
	var b strings.Builder
	fmt.Fprintf(&b, "next=%d revision=%d", s.machine.NextOffset(), s.machine.Revision())
	for _, row := range t.Pools() {
		fmt.Fprintf(&b, " %s@%d=%d", row.Value.Name, row.Revision, row.Value.Concurrency)
	}
	for _, row := range t.Routes() {
		fmt.Fprintf(&b, " %s@%d", row.Value.Name, row.Revision)
	}
	c := s.machine.Counters()
	fmt.Fprintf(&b, "\nundecodable=%d duplicates=%d matches=%d mismatches=%d damaged=%d\n", c.Undecodable, c.DuplicateEdits, c.SnapshotMatches, c.SnapshotMismatches, c.SnapshotsDamaged)
	return b.String()
}
