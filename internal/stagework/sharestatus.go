package stagework

import "time"

// WorkspaceStatus is the standing of a workspace at this scheduler. Times are those that upstreams need for the work of
// the workspace in the window, in milliseconds. ShareMs is zero if all work was accepted and done.
type WorkspaceStatus struct {
	Workspace  string `json:"workspace"`
	OfferedMs  int64  `json:"offered_ms"`
	AcceptedMs int64  `json:"accepted_ms"`
	ShareMs    int64  `json:"share_ms"`
	OverShare  bool   `json:"over_share"`
}

// LargestWorkspaces returns the standing of the ten workspaces that offer most work, the largest first. It returns nil
// if workspaces have no shares.
func (s *Scheduler) LargestWorkspaces() []WorkspaceStatus {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.shares == nil {
		return nil
	}
	now := time.Now()
	var list []WorkspaceStatus
	for _, name := range s.shares.shares.Largest(namedWorkspaces, now) {
		st := s.shares.shares.Standing(name, now)
		list = append(list, WorkspaceStatus{
			Workspace:  name,
			OfferedMs:  st.Offered.Milliseconds(),
			AcceptedMs: st.Accepted.Milliseconds(),
			ShareMs:    st.Share.Milliseconds(),
			OverShare:  st.Over,
		})
	}
	return list
}
