package fairshare

import "time"

// steps is the number of steps in which the window slides.
const steps = 8

// amounts is the work that was offered, and the part of it that was accepted.
type amounts struct {
	offered  time.Duration
	accepted time.Duration
}

func (a amounts) plus(b amounts) amounts {
	return amounts{
		offered:  a.offered + b.offered,
		accepted: a.accepted + b.accepted,
	}
}

func (a amounts) minus(b amounts) amounts {
	return amounts{
		offered:  a.offered - b.offered,
		accepted: a.accepted - b.accepted,
	}
}

// account is the work of one workspace in the window. sum is that of all steps.
type account struct {
	steps [steps]amounts
	sum   amounts
}

// window is the work of all workspaces in the window. sum is that of all accounts.
type window struct {
	stepLength  time.Duration
	maxAccounts int
	accounts    map[string]*account
	sum         amounts
	// start is when the first step began, and current the number of the step in progress.
	start   time.Time
	current int64
}

func newWindow(cfg Config) window {
	return window{
		stepLength:  cfg.Window / steps,
		maxAccounts: cfg.MaxWorkspaces,
		accounts:    make(map[string]*account),
	}
}

// stepAt returns the number of the step at a time.
func (w *window) stepAt(at time.Time) int64 { return int64(at.Sub(w.start) / w.stepLength) }

// advance drops the steps that have left the window, and the accounts that have no work in it.
func (w *window) advance(now time.Time) {
	if w.start.IsZero() {
		w.start = now
	}
	step := w.stepAt(now)
	if step <= w.current {
		return
	}
	left := min(step-w.current, steps)
	for name, a := range w.accounts {
		for i := range left {
			w.drop(a, (w.current+1+i)%steps)
		}
		if a.sum.offered == 0 {
			delete(w.accounts, name)
		}
	}
	w.current = step
}

// drop removes one step of an account. When all steps leave the window, each index is dropped once.
func (w *window) drop(a *account, index int64) {
	dropped := a.steps[index]
	a.steps[index] = amounts{}
	a.sum = a.sum.minus(dropped)
	w.sum = w.sum.minus(dropped)
}

// add adds work of a workspace to the current step.
func (w *window) add(workspace string, x amounts) {
	a := w.account(workspace)
	index := w.current % steps
	a.steps[index] = a.steps[index].plus(x)
	a.sum = a.sum.plus(x)
	w.sum = w.sum.plus(x)
}

// find returns the account to which the work of a workspace is added, or nil if there is none yet.
func (w *window) find(workspace string) *account {
	if a, ok := w.accounts[workspace]; ok {
		return a
	}
	if len(w.accounts) < w.maxAccounts {
		return nil
	}
	return w.accounts[""]
}

// account returns the account to which the work of a workspace is added. The one with the empty name may come on top
// of maxAccounts.
func (w *window) account(workspace string) *account {
	if a := w.find(workspace); a != nil {
		return a
	}
	if len(w.accounts) >= w.maxAccounts {
		workspace = ""
	}
	a := &account{}
	w.accounts[workspace] = a
	return a
}
