package e2e

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/standinapi"
)

const listening = "listening "

// standin is a running stand-in for a platform service or an upstream.
type standin struct {
	*process

	addr string
	api  *standinapi.Client
	link *forwarder // Nil if daemons connect directly.
}

// daemonAddr returns the address under which daemons reach the stand-in.
func (s *standin) daemonAddr() string {
	if s.link != nil {
		return s.link.addr
	}
	return s.addr
}

func startStandin(t *testing.T, args ...string) *standin {
	t.Helper()
	p := startProcess(t, "standin", args...)
	line := p.waitLine(t, func(line string) bool { return strings.HasPrefix(line, listening) })
	addr := strings.TrimPrefix(line, listening)
	api, err := standinapi.NewClient("http://"+addr, standinapi.WithClient(newHTTPClient()))
	require.NoError(t, err)
	return &standin{
		process: p,
		addr:    addr,
		api:     api,
	}
}

// setFaults replaces the faults of the stand-in; the zero value removes them.
func (s *standin) setFaults(t *testing.T, faults standinapi.Faults) {
	t.Helper()
	require.NoError(t, s.api.SetFaults(t.Context(), &faults))
}

// ledger returns the executions of the stand-in; nil once it has been killed.
func (s *standin) ledger(t *testing.T) []standinapi.Entry {
	t.Helper()
	return s.readLedger(t).Entries
}

func (s *standin) readLedger(t *testing.T) *standinapi.Ledger {
	t.Helper()
	if s.cmd.ProcessState != nil {
		return &standinapi.Ledger{}
	}
	ledger, err := s.api.ReadLedger(t.Context())
	require.NoError(t, err, "stand-in %s at %s, ended: %t, last lines:\n%s", s.cmd.Args, s.addr, s.ended(), strings.Join(s.lastLines(), "\n"))
	return ledger
}
