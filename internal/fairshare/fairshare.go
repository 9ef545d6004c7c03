// Package fairshare decides which workspaces are over their share of the work that one scheduler accepts.
//
// The load that this answers is more work than there is capacity for, for seconds at a time, of which a few workspaces
// offer most, or offer again at once what was rejected.
//
// The share is max-min fair with equal weights: the largest amount of work for which the shares of all workspaces, each
// at most what the workspace offers, add up to the work that was accepted in the window. A workspace that offers less
// than the share is never over it. Work that is offered again after a rejection counts as offered again, so it does not
// raise the share of the workspace above that of others. While all that is offered is accepted, no workspace is over
// its share.
//
// Which work counts as accepted is up to the scheduler. Work is the time that upstreams need for it. The window slides in steps of an eighth of its length. The package does
// no I/O and starts no goroutines.
//
//	s := fairshare.New(fairshare.Config{})
//	standing := s.Standing(workspace, now)
//	s.Offer(workspace, work, now)
//	if accepted(job, standing.Over) {
//		s.Accept(workspace, work, now)
//	}
package fairshare

import (
	"cmp"
	"time"
)

// Defaults of Config.
const (
	// DefaultWindow is shorter than a burst, which lasts 5 to 7 s, so that what a workspace got before a burst does not
	// count against it until the end of it.
	DefaultWindow = 4 * time.Second
	// DefaultMaxWorkspaces is the number of workspaces of the largest deployment, and a few more.
	DefaultMaxWorkspaces = 4096
)

// levelTTL is how long a computed share is used. At 4,000 workspaces it bounds the time spent on computing shares to a
// thousandth of a core.
const levelTTL = 100 * time.Millisecond

// Config configures Shares. Zero fields mean the defaults.
type Config struct {
	// Window is the time for which work counts.
	Window time.Duration
	// MaxWorkspaces bounds the workspaces that have work in the window. Further ones count as the workspace with the
	// empty name.
	MaxWorkspaces int
}

func (c Config) withDefaults() Config {
	c.Window = cmp.Or(c.Window, DefaultWindow)
	c.MaxWorkspaces = cmp.Or(c.MaxWorkspaces, DefaultMaxWorkspaces)
	return c
}

// Shares is the work of workspaces in a sliding window, and the share that follows from it. It is not safe for
// concurrent use. The times that it is given must not decrease.
type Shares struct {
	cfg    Config
	window window
	// level is the share, computed at levelAt.
	level   level
	levelAt time.Time
	// offers is the memory in which the share is computed.
	offers []time.Duration
}

// New returns Shares without history.
func New(cfg Config) *Shares {
	cfg = cfg.withDefaults()
	return &Shares{
		cfg:    cfg,
		window: newWindow(cfg),
	}
}

// Offer records work that a workspace offers, whether or not it is accepted.
func (s *Shares) Offer(workspace string, work time.Duration, now time.Time) {
	s.window.advance(now)
	s.window.add(workspace, amounts{
		offered: work,
	})
}

// Accept records that work was accepted, which must have been offered before.
func (s *Shares) Accept(workspace string, work time.Duration, now time.Time) {
	s.window.advance(now)
	s.window.add(workspace, amounts{
		accepted: work,
	})
}
