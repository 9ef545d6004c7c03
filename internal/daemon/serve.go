package daemon

import (
	"net"
	"net/http"
	"net/http/pprof"

	"github.com/VictoriaMetrics/metrics"
	"golang.org/x/net/netutil"

	"sequoiafork/internal/operatorhttp"
	"sequoiafork/internal/operatorpage"
	"sequoiafork/internal/panics"
)

func (d *Daemon) newServer(name string, h http.Handler) *http.Server {
	l := d.settings.Limits
	return &http.Server{
		Handler:           http.MaxBytesHandler(panics.Handler(d.logger, name, h), l.MaxBodyBytes),
		ReadHeaderTimeout: l.ReadHeaderTimeout,
		ReadTimeout:       l.ReadTimeout,
		WriteTimeout:      l.WriteTimeout,
		IdleTimeout:       l.IdleTimeout,
		MaxHeaderBytes:    int(l.MaxHeaderBytes),
	}
}

func (d *Daemon) limit(l net.Listener) net.Listener {
	return netutil.LimitListener(l, int(d.settings.Limits.MaxConnections))
}

// operatorHandler returns the handler of the operator address: the API, the web page,
// metrics, health checks and profiles.
func (d *Daemon) operatorHandler() (http.Handler, error) {
	config := operatorhttp.Config{
		Editor:  edits{daemon: d},
		Tables:  d.machine,
		Hosts:   hosts{daemon: d},
		Dumper:  dumper{daemon: d},
		Drainer: drainer{daemon: d},
	}
	api, err := operatorhttp.New(config)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("/v1/", api)
	mux.Handle("/page/", operatorpage.New(operatorpage.Config{
		API: operatorhttp.NewHandler(config),
	}))
	mux.Handle("GET /{$}", http.RedirectHandler("/page/", http.StatusSeeOther))
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		metrics.WritePrometheus(w, true)
		d.writeGauges(w)
	})
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", d.readyz)
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /debug/pprof/trace", pprof.Trace)
	return mux, nil
}

// readyz responds with 200 while this daemon accepts new requests.
func (d *Daemon) readyz(w http.ResponseWriter, _ *http.Request) {
	switch {
	case d.lifecycleState() != stateServing:
		http.Error(w, d.lifecycleState().String(), http.StatusServiceUnavailable)
	case !d.machine.Ready():
		http.Error(w, "no tables yet", http.StatusServiceUnavailable)
	default:
		_, _ = w.Write([]byte("ready\n"))
	}
}
