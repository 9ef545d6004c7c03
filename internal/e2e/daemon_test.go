package e2e

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"sequoiafork/internal/wire/callerapi"
	"sequoiafork/internal/wire/operatorapi"
)

const (
	anyPort           = "127.0.0.1:0"
	callTimeout       = 30 * time.Second
	bindRetryInterval = 100 * time.Millisecond
)

// addresses are the listening addresses of a daemon.
type addresses struct {
	Caller   string `json:"caller_addr"`
	Operator string `json:"operator_addr"`
	Peer     string `json:"peer_addr"`
}

// daemon is a running sequoiaforkd. A restart reuses its addresses.
type daemon struct {
	*process

	addresses
	cluster   *cluster
	callers   *callerapi.Client
	operators *operatorapi.Client
}

// newHTTPClient returns a client that never reuses a connection, because a transport
// may retry a request by itself when a reused connection fails.
func newHTTPClient() *http.Client {
	return &http.Client{
		Timeout: callTimeout,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
}

// startDaemon starts a daemon that joins the daemons of the cluster.
func startDaemon(t *testing.T, c *cluster) *daemon {
	t.Helper()
	d := &daemon{
		cluster: c,
		addresses: addresses{
			Caller:   anyPort,
			Operator: anyPort,
			Peer:     anyPort,
		},
	}
	d.start(t)
	var err error
	d.callers, err = callerapi.NewClient("http://"+d.Caller, callerapi.WithClient(newHTTPClient()))
	require.NoError(t, err)
	d.operators, err = operatorapi.NewClient("http://"+d.Operator, operatorapi.WithClient(newHTTPClient()))
	require.NoError(t, err)
	return d
}

// start starts or restarts the process. While it was down, the kernel may have assigned
// its port to an outgoing connection, so a failed bind is retried.
func (d *daemon) start(t *testing.T) {
	t.Helper()
	path := filepath.Join(t.TempDir(), "sequoiaforkd.ini")
	require.NoError(t, os.WriteFile(path, []byte(d.settings()), 0o600))
	for began := time.Now(); ; time.Sleep(bindRetryInterval) {
		d.process = startProcess(t, "sequoiaforkd", "-config", path)
		line, ok := d.findLine(t, func(line string) bool { return strings.Contains(line, `"serving"`) })
		if ok {
			require.NoError(t, json.Unmarshal([]byte(line), &d.addresses))
			return
		}
		last := strings.Join(d.lastLines(), "\n")
		if !strings.Contains(last, syscall.EADDRINUSE.Error()) || time.Since(began) > startTimeout {
			require.FailNow(t, "the daemon ended early", "%s", last)
		}
	}
}

func (d *daemon) settings() string {
	var seeds []string
	for _, other := range d.cluster.daemons {
		if other.Peer != d.Peer {
			seeds = append(seeds, other.Peer)
		}
	}
	var b strings.Builder
	fmt.Fprintf(&b, "[daemon]\ndata_centre = dc1\ncaller_addr = %s\noperator_addr = %s\npeer_addr = %s\n", d.Caller, d.Operator, d.Peer)
	fmt.Fprintf(&b, "[peers]\nseeds = %s\n", strings.Join(seeds, ", "))
	fmt.Fprintf(&b, "[platform]\nlog_addr = %s\nhost_list_addr = %s\n", d.cluster.log.addr, d.cluster.hosts.addr)
	fmt.Fprintf(&b, "log_appends_per_second = 100\nhost_list_interval = 200ms\nsnapshot_every_records = %d\n", d.cluster.config.snapshotEvery)
	if lease := d.cluster.config.placementLease; lease > 0 {
		fmt.Fprintf(&b, "weight_store_addr = %s\nplacement_lease = %s\n", d.cluster.log.addr, lease)
	}
	fmt.Fprintf(&b, "[keys]\nwindow = %s\n", d.cluster.config.keyWindow)
	fmt.Fprintf(&b, "[limits]\nmax_in_flight = %d\n", d.cluster.config.maxInFlight)
	fmt.Fprintf(&b, "[drain]\nkeep_answers = %s\ngrace = %s\n", d.cluster.config.addressTTL, d.cluster.config.grace)
	fmt.Fprintf(&b, "[retry]\nratio = 1\nburst = 10000\n")
	fmt.Fprintf(&b, "[log]\nlevel = info\nformat = json\n")
	return b.String()
}

// waitReady waits until the daemon reports that it is ready.
func (d *daemon) waitReady(t *testing.T) {
	t.Helper()
	client := newHTTPClient()
	require.Eventually(t, func() bool {
		resp, err := client.Get("http://" + d.Operator + "/readyz")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}, startTimeout, 20*time.Millisecond, "daemon %s is not ready", d.Operator)
}
