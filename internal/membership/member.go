package membership

import (
	"math"
	"net/netip"
	"strings"

	"sequoiafork/internal/hostcapacity"
	"sequoiafork/internal/wire/peerpb"
)

// State is the state of a member.
type State int

// States of a member. A member that is not Dead is called living. At equal versions the
// later state in this list wins.
const (
	Alive State = iota + 1
	Leaving
	Dead
)

// String returns the state in lower case.
func (s State) String() string {
	switch s {
	case Alive:
		return "alive"
	case Leaving:
		return "leaving"
	case Dead:
		return "dead"
	}
	return "unknown"
}

// MarshalText implements encoding.TextMarshaler for state dumps.
func (s State) MarshalText() ([]byte, error) {
	return []byte(s.String()), nil
}

// Member describes one incarnation of a daemon. It is an immutable value.
type Member struct {
	// Incarnation is "<peer IP:port>/<random hex>".
	Incarnation  string `json:"incarnation"`
	PeerAddr     string `json:"peer_addr"`
	CallerAddr   string `json:"caller_addr"`
	OperatorAddr string `json:"operator_addr"`
	DataCentre   string `json:"data_centre"`
	State        State  `json:"state"`
	// Version increases with each change that the incarnation makes to its own entry.
	Version uint64 `json:"version"`
	// Term is the term in which the incarnation became the owner of the stage work, or
	// zero if it never did. The living member with the highest term is the owner.
	Term uint64 `json:"term,omitempty"`
	// Capacity is that of the daemon's host.
	Capacity hostcapacity.Capacity `json:"capacity"`
	// NextOffset and Revision are the member's last known progress: the offset of the
	// next log record to apply, and the configuration revision applied.
	NextOffset uint64 `json:"next_offset"`
	Revision   uint64 `json:"revision"`
}

// WithState returns a copy of m with another state.
func (m Member) WithState(s State) Member {
	m.State = s
	return m
}

// WithVersion returns a copy of m with another version.
func (m Member) WithVersion(v uint64) Member {
	m.Version = v
	return m
}

// WithTerm returns a copy of m with another term.
func (m Member) WithTerm(term uint64) Member {
	m.Term = term
	return m
}

// WithProgress returns a copy of m with another next offset and revision.
func (m Member) WithProgress(next, revision uint64) Member {
	m.NextOffset = next
	m.Revision = revision
	return m
}

// supersedes reports whether m is a newer description of the same incarnation than old.
func (m Member) supersedes(old Member) bool {
	if m.Version != old.Version {
		return m.Version > old.Version
	}
	return m.State > old.State
}

// newerThan reports whether m is the newer of two living incarnations at one address.
func (m Member) newerThan(other Member) bool {
	if m.Version != other.Version {
		return m.Version > other.Version
	}
	return m.Incarnation > other.Incarnation
}

func (m Member) rumor() *peerpb.MemberRumor {
	r := &peerpb.MemberRumor{
		Incarnation: m.Incarnation,
		State:       peerpb.MemberState(m.State),
		Version:     m.Version,
	}
	if m.State == Dead {
		return r
	}
	r.CallerAddr = m.CallerAddr
	r.OperatorAddr = m.OperatorAddr
	r.DataCentre = m.DataCentre
	r.Revision = m.Revision
	r.Term = m.Term
	r.MilliCores = m.Capacity.MilliCores
	return r
}

// maxNumber is the highest version and term of a rumor that is used. Both go on from the highest one that is known,
// and would begin at zero again after the highest possible number.
const maxNumber = math.MaxInt64

// memberFromRumor decodes a rumor. It reports false if the rumor is malformed.
func memberFromRumor(r *peerpb.MemberRumor) (Member, bool) {
	addr, _, ok := strings.Cut(r.GetIncarnation(), "/")
	if !ok || !validAddr(addr) {
		return Member{}, false
	}
	st := State(r.GetState())
	if st < Alive || st > Dead || r.GetVersion() > maxNumber || r.GetTerm() > maxNumber {
		return Member{}, false
	}
	return Member{
		Incarnation:  r.GetIncarnation(),
		PeerAddr:     addr,
		CallerAddr:   r.GetCallerAddr(),
		OperatorAddr: r.GetOperatorAddr(),
		DataCentre:   r.GetDataCentre(),
		State:        st,
		Version:      r.GetVersion(),
		NextOffset:   r.GetNextOffset(),
		Revision:     r.GetRevision(),
		Term:         r.GetTerm(),
		Capacity: hostcapacity.Capacity{
			MilliCores: r.GetMilliCores(),
		},
	}, true
}

func validAddr(addr string) bool {
	_, err := netip.ParseAddrPort(addr)
	return err == nil
}
