// Package operatorpage serves web pages for operators, laid out for phones. They show the
// health of the system and the tables of routes and pools, and edit the tables. The pages
// use no scripts. They call the operator API, package operatorhttp, in process.
//
//	page := operatorpage.New(operatorpage.Config{API: operatorhttp.NewHandler(config)})
//	mux.Handle("/page/", page)
package operatorpage

import (
	"bytes"
	"context"
	"embed"
	"html/template"
	"net/http"

	"sequoiafork/internal/wire/operatorapi"
)

//go:embed templates
var templateFiles embed.FS

var templates = template.Must(template.ParseFS(templateFiles, "templates/*.html"))

// contentSecurityPolicy allows the page's own style sheet and forms, and no scripts.
const contentSecurityPolicy = "default-src 'none'; style-src 'self'; form-action 'self'; frame-ancestors 'none'; base-uri 'none'"

// Config holds the dependencies of the page.
type Config struct {
	// API is the operator API. Required.
	API operatorapi.Handler
}

// page handles the requests below /page/.
type page struct {
	api operatorapi.Handler
}

// New returns a handler of the paths below /page/. It rejects cross-origin form
// submissions (CSRF).
func New(config Config) http.Handler {
	p := &page{
		api: config.API,
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /page/{$}", p.home)
	mux.HandleFunc("GET /page/pool", p.pool)
	mux.HandleFunc("GET /page/route", p.route)
	mux.HandleFunc("GET /page/edit", p.edit)
	mux.HandleFunc("POST /page/pool", p.postPool)
	mux.HandleFunc("POST /page/route", p.postRoute)
	mux.HandleFunc("GET /page/style.css", serveStyle)
	return http.NewCrossOriginProtection().Handler(mux)
}

func serveStyle(w http.ResponseWriter, r *http.Request) {
	http.ServeFileFS(w, r, templateFiles, "templates/style.css")
}

// render executes a template and writes the page. It buffers the page, so that a template
// that fails leads to an error response and not to a truncated page.
func render(w http.ResponseWriter, status int, name string, view any) {
	var body bytes.Buffer
	if err := templates.ExecuteTemplate(&body, name, view); err != nil {
		http.Error(w, "the page can't be shown: use the command line", http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", "text/html; charset=utf-8")
	h.Set("Content-Security-Policy", contentSecurityPolicy)
	h.Set("Cache-Control", "no-store")
	h.Set("Referrer-Policy", "no-referrer")
	h.Set("X-Content-Type-Options", "nosniff")
	w.WriteHeader(status)
	_, _ = w.Write(body.Bytes())
}

// renderError shows an error of the operator API.
func (p *page) renderError(ctx context.Context, w http.ResponseWriter, err error) {
	wire := p.api.NewError(ctx, err)
	render(w, wire.StatusCode, "message.html", messageView{
		Message: wire.Response.Message,
	})
}
