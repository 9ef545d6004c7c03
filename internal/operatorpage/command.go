package operatorpage

import (
	"context"
	"errors"
	"net/http"

	"sequoiafork/internal/editid"
	"sequoiafork/internal/wire/operatorapi"
)

// author is the recorded author of edits submitted on the page.
const author = "page"

// submission is a submitted form for a pool or a route.
type submission struct {
	rowType string
	step    step
	form    form
	// set submits the row's new value. It returns a *fieldError if a field can't be
	// parsed.
	set func(ctx context.Context, dryRun bool) (*operatorapi.EditResult, error)
	// remove submits the deletion of the row.
	remove func(ctx context.Context, dryRun bool) (*operatorapi.EditResult, error)
}

// fieldError reports a form field that can't be parsed.
type fieldError struct {
	err error
}

// Error names the field and what is allowed.
func (e *fieldError) Error() string {
	return e.err.Error()
}

// Unwrap returns the cause.
func (e *fieldError) Unwrap() error {
	return e.err
}

// postPool handles the form of a pool.
func (p *page) postPool(w http.ResponseWriter, r *http.Request) {
	f, ok := readSubmission(w, r)
	if !ok {
		return
	}
	p.submit(w, r, submission{
		rowType: poolRowType,
		step:    step(r.PostForm.Get("step")),
		form:    f,
		set: func(ctx context.Context, dryRun bool) (*operatorapi.EditResult, error) {
			spec, err := f.pool()
			if err != nil {
				return nil, &fieldError{
					err: err,
				}
			}
			return p.api.SetPool(ctx, &spec, operatorapi.SetPoolParams{
				Name:         f.Name,
				BaseRevision: f.Base,
				EditID:       operatorapi.NewOptString(f.EditID),
				DryRun:       operatorapi.NewOptBool(dryRun),
				Author:       operatorapi.NewOptString(author),
			})
		},
		remove: func(ctx context.Context, dryRun bool) (*operatorapi.EditResult, error) {
			return p.api.DeletePool(ctx, operatorapi.DeletePoolParams{
				Name:         f.Name,
				BaseRevision: f.Base,
				EditID:       operatorapi.NewOptString(f.EditID),
				DryRun:       operatorapi.NewOptBool(dryRun),
				Author:       operatorapi.NewOptString(author),
			})
		},
	})
}

// postRoute handles the form of a route.
func (p *page) postRoute(w http.ResponseWriter, r *http.Request) {
	f, ok := readSubmission(w, r)
	if !ok {
		return
	}
	p.submit(w, r, submission{
		rowType: routeRowType,
		step:    step(r.PostForm.Get("step")),
		form:    f,
		set: func(ctx context.Context, dryRun bool) (*operatorapi.EditResult, error) {
			spec, err := f.route()
			if err != nil {
				return nil, &fieldError{
					err: err,
				}
			}
			return p.api.SetRoute(ctx, &spec, operatorapi.SetRouteParams{
				Name:         f.Name,
				BaseRevision: f.Base,
				EditID:       operatorapi.NewOptString(f.EditID),
				DryRun:       operatorapi.NewOptBool(dryRun),
				Author:       operatorapi.NewOptString(author),
			})
		},
		remove: func(ctx context.Context, dryRun bool) (*operatorapi.EditResult, error) {
			return p.api.DeleteRoute(ctx, operatorapi.DeleteRouteParams{
				Name:         f.Name,
				BaseRevision: f.Base,
				EditID:       operatorapi.NewOptString(f.EditID),
				DryRun:       operatorapi.NewOptBool(dryRun),
				Author:       operatorapi.NewOptString(author),
			})
		},
	})
}

// readSubmission parses the submitted form. If that fails, it writes an error page and
// returns false. Each dry run gets a new edit ID, so that an ID identifies exactly one
// set of values: those that the operator confirms.
func readSubmission(w http.ResponseWriter, r *http.Request) (form, bool) {
	if err := r.ParseForm(); err != nil {
		render(w, http.StatusBadRequest, "message.html", messageView{
			Message: "the form can't be parsed: open the row again",
		})
		return form{}, false
	}
	f, err := parseForm(r.PostForm)
	if err != nil {
		render(w, http.StatusBadRequest, "message.html", messageView{
			Message: err.Error(),
		})
		return form{}, false
	}
	if s := step(r.PostForm.Get("step")); s == stepCheck || s == stepCheckDelete {
		f.EditID = editid.New()
	}
	return f, true
}

func (p *page) submit(w http.ResponseWriter, r *http.Request, s submission) {
	var result *operatorapi.EditResult
	var err error
	switch s.step {
	case stepCheck:
		result, err = s.set(r.Context(), true)
	case stepApply:
		result, err = s.set(r.Context(), false)
	case stepCheckDelete:
		result, err = s.remove(r.Context(), true)
	case stepDelete:
		result, err = s.remove(r.Context(), false)
	default:
		render(w, http.StatusBadRequest, "message.html", messageView{
			Message: "unknown step: open the row again",
		})
		return
	}
	p.respond(w, r, s, result, err)
}

// respond shows the form again after a dry run or if the edit was refused or failed.
// Otherwise it shows the result of the edit.
func (p *page) respond(w http.ResponseWriter, r *http.Request, s submission, result *operatorapi.EditResult, err error) {
	view := formView{
		RowType: s.rowType,
		New:     s.form.Base == 0,
		Form:    s.form,
		Kinds:   kinds,
	}
	if err != nil {
		status := http.StatusBadRequest
		view.Error = err.Error()
		var field *fieldError
		if !errors.As(err, &field) {
			wire := p.api.NewError(r.Context(), err)
			status, view.Error = wire.StatusCode, wire.Response.Message
		}
		render(w, status, "form.html", view)
		return
	}
	switch result.State {
	case operatorapi.EditResultStateDryRun:
		view.Confirm = confirmSteps[s.step]
		view.Result = result
		render(w, http.StatusOK, "form.html", view)
	case operatorapi.EditResultStateRefused:
		view.Result = result
		render(w, http.StatusUnprocessableEntity, "form.html", view)
	default:
		render(w, http.StatusOK, "result.html", resultView{
			RowType:    s.rowType,
			Name:       s.form.Name,
			Result:     result,
			CurrentRow: currentRow(result),
		})
	}
}
