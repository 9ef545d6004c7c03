package cli_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/rogpeppe/go-internal/testscript"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/cli"
	"sequoiafork/internal/operatorhttp"
	"sequoiafork/internal/operatorhttp/operatorhttptest"
)

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"sequoiafork": func() {
			os.Exit(int(cli.Run(context.Background(), cli.Config{
				Args:        os.Args[1:],
				Input:       os.Stdin,
				Output:      os.Stdout,
				ErrorOutput: os.Stderr,
			})))
		},
	})
}

type daemonKey struct{}

// TestScripts runs the scripts in testdata against an in-memory daemon. Their commands:
//   - "fault NAME" sets the daemon's fault,
//   - "exits CODE ARG..." runs sequoiafork and checks the exit code,
//   - "narrow" checks that the last output fits 40 columns,
//   - "lookup ADDR ARG..." runs an edit whose outcome is reported as unknown although it
//     is applied, and shows it by its ID at ADDR.
func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:   "testdata",
		Setup: startServers,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fault":  setFault,
			"exits":  runExits,
			"narrow": checkNarrow,
			"lookup": runLookup,
		},
	})
}

func startServers(env *testscript.Env) error {
	daemon := &operatorhttptest.Daemon{}
	api, err := operatorhttp.New(daemon.Config())
	if err != nil {
		return err
	}
	operators := httptest.NewServer(daemon.Wrap(api))
	env.Defer(operators.Close)
	laggingAPI, err := operatorhttp.New((&operatorhttptest.Daemon{}).Config())
	if err != nil {
		return err
	}
	lagging := httptest.NewServer(laggingAPI)
	env.Defer(lagging.Close)
	env.Setenv("LAGGING", lagging.Listener.Addr().String())
	callers := httptest.NewServer(newCallerAPI())
	env.Defer(callers.Close)
	closed, err := closedAddr()
	if err != nil {
		return err
	}
	env.Values[daemonKey{}] = daemon
	// The race detector sleeps for a second at the end of each process.
	env.Setenv("GORACE", "atexit_sleep_ms=10")
	env.Setenv("CLOSED", closed)
	env.Setenv("OPERATORS", operators.Listener.Addr().String())
	env.Setenv("CALLERS", callers.Listener.Addr().String())
	env.Setenv("SEQUOIAFORK_ADDR", closed+","+operators.Listener.Addr().String())
	env.Setenv("SEQUOIAFORK_CALLER_ADDR", closed+","+callers.Listener.Addr().String())
	return nil
}

// closedAddr returns an address that refuses connections: that of a listener which is
// closed again.
func closedAddr() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

func setFault(ts *testscript.TestScript, _ bool, args []string) {
	daemon := ts.Value(daemonKey{}).(*operatorhttptest.Daemon)
	daemon.SetFault(strings.Join(args, ""))
}

func runExits(ts *testscript.TestScript, _ bool, args []string) {
	want := args[0]
	err := ts.Exec("sequoiafork", args[1:]...)
	got := "0"
	if err != nil {
		got = strings.TrimPrefix(err.Error(), "exit status ")
	}
	if got != want {
		ts.Fatalf("sequoiafork %s: exit code %s, want %s\n%s%s", strings.Join(args[1:], " "), got, want, ts.ReadFile("stdout"), ts.ReadFile("stderr"))
	}
}

func runLookup(ts *testscript.TestScript, _ bool, args []string) {
	setFault(ts, false, []string{operatorhttptest.FaultLateUnknown})
	runExits(ts, false, append([]string{"5"}, args[1:]...))
	setFault(ts, false, nil)
	id := regexp.MustCompile(`e-[a-z2-7]+`).FindString(ts.ReadFile("stdout"))
	runExits(ts, false, []string{"0", "edit", "show", id, "-addr", args[0]})
}

func checkNarrow(ts *testscript.TestScript, _ bool, _ []string) {
	const columns = 40
	for _, name := range []string{"stdout", "stderr"} {
		lines := bufio.NewScanner(strings.NewReader(ts.ReadFile(name)))
		for lines.Scan() {
			if utf8.RuneCountInString(lines.Text()) > columns {
				ts.Fatalf("%s has a line of more than %d columns: %q", name, columns, lines.Text())
			}
		}
	}
}

func TestHelpFits40Columns(t *testing.T) {
	for _, args := range []string{"-h", "pool -h", "pool set -h", "call -h", "key -h", "check -h"} {
		var output, errors strings.Builder
		code := cli.Run(t.Context(), cli.Config{
			Args:        strings.Fields(args),
			Output:      &output,
			ErrorOutput: &errors,
		})
		require.Equal(t, cli.ExitOK, code, args)
		require.Empty(t, errors.String())
		for line := range strings.Lines(output.String()) {
			require.LessOrEqual(t, utf8.RuneCountInString(strings.TrimSuffix(line, "\n")), 40, line)
		}
	}
}

// newCallerAPI returns a fake of the callers' interface. The name of a route selects the
// outcome of its requests.
func newCallerAPI() http.Handler {
	mux := http.NewServeMux()
	respond := func(w http.ResponseWriter, status int, body string) {
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_, _ = fmt.Fprint(w, body)
	}
	const answered = `{"request_id":"r-1","outcome":"answered","output":"%s","stages":[]}`
	mux.HandleFunc("GET /v1/resolve", func(w http.ResponseWriter, r *http.Request) {
		respond(w, http.StatusOK, fmt.Sprintf(`{"addresses":[%q],"keep_ms":10000}`, r.Host))
	})
	mux.HandleFunc("POST /v1/keys", func(w http.ResponseWriter, _ *http.Request) {
		respond(w, http.StatusOK, `{"key":"192.0.2.1:7003/abc.1","valid_ms":60000}`)
	})
	mux.HandleFunc("GET /v1/keys/{key}", func(w http.ResponseWriter, r *http.Request) {
		respond(w, http.StatusOK, fmt.Sprintf(`{"state":%q}`, r.PathValue("key")))
	})
	mux.HandleFunc("POST /v1/routes/{route}/call", func(w http.ResponseWriter, r *http.Request) {
		switch route := r.PathValue("route"); route {
		case "answered":
			respond(w, http.StatusOK, fmt.Sprintf(answered, "a roof"))
		case "lost":
			panic(http.ErrAbortHandler)
		case "none":
			respond(w, http.StatusNotFound, `{"outcome":"not_run","code":"route_unknown","message":"route \"none\" does not exist"}`)
		default:
			respond(w, http.StatusServiceUnavailable, fmt.Sprintf(`{"request_id":"r-1","outcome":%q,"code":"overloaded","message":"the pool rerank has no free slot in time","stage":"rerank","retry_after_ms":1500}`, route))
		}
	})
	mux.HandleFunc("POST /v1/routes/{route}/stream", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		for _, text := range []string{"a ", "roof"} {
			_, _ = fmt.Fprintf(w, "data: {\"request_id\":\"r-1\",\"text\":%q}\n\n", text)
		}
		switch r.PathValue("route") {
		case "answered":
			_, _ = fmt.Fprintf(w, "data: {\"request_id\":\"r-1\",\"done\":%s}\n\n", fmt.Sprintf(answered, "a roof"))
		case "failed":
			_, _ = fmt.Fprint(w, `data: {"request_id":"r-1","error":{"outcome":"failed","code":"upstream_failed","message":"the engine failed"}}`+"\n\n")
		}
	})
	return mux
}
