package operatorpage

import (
	"fmt"
	"net/url"
	"strconv"
	"strings"

	"sequoiafork/internal/rowtext"
	"sequoiafork/internal/wire/operatorapi"
)

const (
	poolRowType  = "pool"
	routeRowType = "route"
)

// step is the action that a button of a form requests.
type step string

// The steps of an edit. The first one is a dry run; the second one confirms it with the
// same fields.
const (
	stepCheck       step = "check"
	stepApply       step = "apply"
	stepCheckDelete step = "check_delete"
	stepDelete      step = "delete"
)

// confirmSteps maps a dry run to the step that confirms it.
var confirmSteps = map[step]step{
	stepCheck:       stepApply,
	stepCheckDelete: stepDelete,
}

// form holds the fields of a row as the operator typed them, and the ID and base revision
// of their edit. The dry run generates the ID, so that a confirmation that is sent twice
// is applied once.
type form struct {
	Name   string
	Base   int64
	EditID string

	Kind        string
	Service     string
	Concurrency string
	Models      string
	Shares      string
	Fencing     bool

	Deadline string
	Stages   string
}

func newFormView(rowType string) formView {
	return formView{
		RowType: rowType,
		New:     true,
		Kinds:   kinds,
	}
}

func poolForm(row operatorapi.PoolRow) form {
	f := form{
		Name:        row.Name,
		Base:        row.Revision,
		Kind:        row.Pool.Kind,
		Service:     row.Pool.Service,
		Concurrency: strconv.FormatInt(row.Pool.Concurrency, 10),
		Models:      strings.Join(row.Pool.Models, ","),
		Fencing:     row.Pool.ChecksFencing.Or(false),
	}
	var shares []string
	for _, s := range row.Pool.Shares {
		shares = append(shares, fmt.Sprintf("%s:%d", s.Workspace, s.Weight))
	}
	f.Shares = strings.Join(shares, ",")
	return f
}

func routeForm(row operatorapi.RouteRow) form {
	fields := rowtext.FormatRoute(row.Route)
	var stages []string
	for _, s := range row.Route.Stages {
		stages = append(stages, rowtext.FormatStage(s))
	}
	return form{
		Name:     row.Name,
		Base:     row.Revision,
		Deadline: strings.TrimPrefix(fields[0], "deadline="),
		Stages:   strings.Join(stages, "\n"),
	}
}

// parseForm returns the fields of a submitted form.
func parseForm(values url.Values) (form, error) {
	base, err := strconv.ParseInt(values.Get("base"), 10, 64)
	if err != nil || base < 0 {
		return form{}, fmt.Errorf("base revision %q is invalid: open the row again", values.Get("base"))
	}
	return form{
		Name:        strings.TrimSpace(values.Get("name")),
		Base:        base,
		EditID:      values.Get("edit_id"),
		Kind:        values.Get("kind"),
		Service:     strings.TrimSpace(values.Get("service")),
		Concurrency: strings.TrimSpace(values.Get("concurrency")),
		Models:      removeSpaces(values.Get("models")),
		Shares:      removeSpaces(values.Get("shares")),
		Fencing:     values.Get("fencing") == "yes",
		Deadline:    strings.TrimSpace(values.Get("deadline")),
		Stages:      strings.TrimSpace(values.Get("stages")),
	}, nil
}

// removeSpaces removes all white space from a list, because the keyboards of phones
// insert a space after a comma.
func removeSpaces(text string) string {
	return strings.Join(strings.Fields(text), "")
}

func (f form) pool() (operatorapi.PoolSpec, error) {
	fields := []string{
		"kind=" + f.Kind,
		"service=" + f.Service,
		"concurrency=" + f.Concurrency,
		"models=" + f.Models,
		"shares=" + f.Shares,
	}
	if f.Fencing {
		fields = append(fields, "fencing=yes")
	}
	return rowtext.ApplyPool(operatorapi.PoolSpec{}, fields)
}

func (f form) route() (operatorapi.RouteSpec, error) {
	var stages []string
	for line := range strings.SplitSeq(f.Stages, "\n") {
		if line = strings.TrimSuffix(removeSpaces(line), ","); line != "" {
			stages = append(stages, line)
		}
	}
	return rowtext.ApplyRoute(operatorapi.RouteSpec{}, []string{
		"deadline=" + f.Deadline,
		"stages=" + strings.Join(stages, ","),
	})
}
