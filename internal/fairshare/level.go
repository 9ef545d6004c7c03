package fairshare

import (
	"slices"
	"time"
)

// Standing is what a workspace has got, compared with its share.
type Standing struct {
	// Offered and Accepted are the work of the workspace in the window.
	Offered  time.Duration
	Accepted time.Duration
	// Limited reports that not all work was accepted, and Share is then the share of every workspace in the window.
	Limited bool
	Share   time.Duration
	// Over reports that more than the share was accepted. Further work of the workspace then goes behind that of
	// others.
	Over bool
}

// level is the share of every workspace. It is not limited if all work was accepted.
type level struct {
	limited bool
	share   time.Duration
}

// Standing returns the standing of a workspace. The share is up to 100 ms old.
func (s *Shares) Standing(workspace string, now time.Time) Standing {
	s.window.advance(now)
	s.updateLevel(now)
	st := Standing{
		Limited: s.level.limited,
		Share:   s.level.share,
	}
	if a := s.window.find(workspace); a != nil {
		st.Offered, st.Accepted = a.sum.offered, a.sum.accepted
	}
	st.Over = st.Limited && st.Accepted > st.Share
	return st
}

// Largest returns the names of up to n workspaces with the most offered work in the window, the largest first.
func (s *Shares) Largest(n int, now time.Time) []string {
	s.window.advance(now)
	return s.window.largest(n)
}

func (s *Shares) updateLevel(now time.Time) {
	if !s.levelAt.IsZero() && now.Sub(s.levelAt) < levelTTL {
		return
	}
	s.levelAt = now
	s.level = level{}
	if s.window.sum.accepted >= s.window.sum.offered {
		return
	}
	s.offers = s.offers[:0]
	for _, a := range s.window.accounts {
		s.offers = append(s.offers, a.sum.offered)
	}
	s.level = level{
		limited: true,
		share:   maxMinShare(s.offers, s.window.sum.accepted),
	}
}

// maxMinShare returns the share for which the sum of min(offer, share) is capacity. The offers must add up to more
// than capacity. It reorders them.
func maxMinShare(offers []time.Duration, capacity time.Duration) time.Duration {
	for len(offers) > 0 {
		share := capacity / time.Duration(len(offers))
		larger := slices.DeleteFunc(offers, func(offer time.Duration) bool {
			if offer > share {
				return false
			}
			capacity -= offer
			return true
		})
		if len(larger) == len(offers) {
			return share
		}
		offers = larger
	}
	return capacity
}
