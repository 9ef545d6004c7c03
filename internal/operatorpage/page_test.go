package operatorpage_test

import (
	"fmt"
	"html"
	"net/http"
	"net/http/httptest"
	"net/url"
	"regexp"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/operatorhttp"
	"sequoiafork/internal/operatorhttp/operatorhttptest"
	"sequoiafork/internal/operatorpage"
	"sequoiafork/internal/table"
)

var (
	generatedID = regexp.MustCompile(`e-[a-z2-7]{12}`)
	pageHead    = regexp.MustCompile(`(?s)^.*</nav>\n`)
	hiddenInput = regexp.MustCompile(`<input type="hidden" name="(\w+)" value="([^"]*)">`)
	textInput   = regexp.MustCompile(`<input [^>]*name="(\w+)" value="([^"]*)"[^>]*>`)
	stepButton  = regexp.MustCompile(`<button[^>]*value="(\w+)"[^>]*>`)
	option      = regexp.MustCompile(`<option( selected)?>(\w+)</option>`)
	anyTag      = regexp.MustCompile(`<[^>]*>`)
)

// TestScripts sends the requests in testdata. The command is GET or POST, and the input
// holds the form's fields, one per line. The command fault sets the daemon's fault. The
// output is the text of the page with its fields and buttons.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		daemon := &operatorhttptest.Daemon{}
		page := operatorpage.New(operatorpage.Config{
			API: operatorhttp.NewHandler(daemon.Config()),
		})
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "fault" {
				daemon.SetFault(d.CmdArgs[0].Key)
				return ""
			}
			return send(t, page, d)
		})
	})
}

func send(t *testing.T, page http.Handler, d *datadriven.TestData) string {
	t.Helper()
	fields := url.Values{}
	for line := range strings.Lines(d.Input) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), "=")
		fields.Set(name, strings.ReplaceAll(value, `\n`, "\n"))
	}
	r := httptest.NewRequest(d.Cmd, d.CmdArgs[0].String(), strings.NewReader(fields.Encode()))
	r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
	if d.HasArg("origin") {
		r.Header.Set("Origin", "http://other.example")
	}
	w := httptest.NewRecorder()
	page.ServeHTTP(w, r)
	body := w.Body.String()
	require.NotContains(t, body, "<leaving>")
	require.NotContains(t, body, "<script")
	return fmt.Sprintf("%d\n%s", w.Code, pageText(body))
}

// pageText returns the text of the page below its navigation, with its fields and buttons.
func pageText(body string) string {
	body = generatedID.ReplaceAllString(pageHead.ReplaceAllString(body, ""), "e-GENERATED")
	body = hiddenInput.ReplaceAllString(body, "($1=$2)")
	body = textInput.ReplaceAllString(body, "[$1=$2]")
	body = stepButton.ReplaceAllString(body, "{$1} ")
	body = option.ReplaceAllString(body, "$2$1 ")
	body = strings.ReplaceAll(body, "</li>", "\n")
	body = strings.ReplaceAll(body, "</p>", "\n")
	body = strings.ReplaceAll(body, "<br>", "\n")
	var output strings.Builder
	for line := range strings.Lines(anyTag.ReplaceAllString(body, "")) {
		if line = strings.TrimSpace(line); line != "" {
			output.WriteString(line + "\n")
		}
	}
	return output.String()
}

// TestConfirmSendsWhatWasChecked submits a dry run and then, twice, the confirmation form
// that it returned, as a browser does. The edit must apply once, with the checked values.
func TestConfirmSendsWhatWasChecked(t *testing.T) {
	daemon := &operatorhttptest.Daemon{}
	page := operatorpage.New(operatorpage.Config{
		API: operatorhttp.NewHandler(daemon.Config()),
	})
	post := func(fields url.Values) string {
		r := httptest.NewRequest(http.MethodPost, "/page/pool", strings.NewReader(fields.Encode()))
		r.Header.Set("Content-Type", "application/x-www-form-urlencoded")
		w := httptest.NewRecorder()
		page.ServeHTTP(w, r)
		require.Equal(t, http.StatusOK, w.Code, w.Body.String())
		return w.Body.String()
	}
	confirm := post(url.Values{
		"step":        {"check"},
		"base":        {"0"},
		"name":        {"llm"},
		"kind":        {"engine"},
		"service":     {"llm"},
		"concurrency": {"8"},
		"models":      {"model-a, model-b"},
		"shares":      {"desk:2"},
		"fencing":     {"yes"},
	})
	_, exists := daemon.Tables().Pool("llm")
	require.False(t, exists, "a dry run changed the table")

	fields := url.Values{
		"step": {"apply"},
	}
	for _, field := range hiddenInput.FindAllStringSubmatch(confirm, -1) {
		fields.Set(field[1], html.UnescapeString(field[2]))
	}
	post(fields)
	post(fields)
	row, exists := daemon.Tables().Pool("llm")
	require.True(t, exists)
	require.Equal(t, table.PoolRow{
		Revision: 1,
		Value: table.Pool{
			Name:          "llm",
			Kind:          table.KindEngine,
			Service:       "llm",
			Concurrency:   8,
			Models:        []string{"model-a", "model-b"},
			ChecksFencing: true,
			Shares: []table.Share{
				{
					Workspace: "desk",
					Weight:    2,
				},
			},
		},
	}, row)
}

func TestPageNeedsNoScripts(t *testing.T) {
	daemon := &operatorhttptest.Daemon{}
	page := operatorpage.New(operatorpage.Config{
		API: operatorhttp.NewHandler(daemon.Config()),
	})
	w := httptest.NewRecorder()
	page.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/page/", nil))
	require.Contains(t, w.Header().Get("Content-Security-Policy"), "default-src 'none'")
	require.Contains(t, w.Body.String(), `name="viewport" content="width=device-width`)

	w = httptest.NewRecorder()
	page.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/page/style.css", nil))
	require.Equal(t, http.StatusOK, w.Code)
	require.Contains(t, w.Header().Get("Content-Type"), "text/css")
}
