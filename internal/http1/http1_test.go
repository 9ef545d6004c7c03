package http1

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// peer is a server that sends one text to each request.
type peer struct {
	text string
	// early sends it before the body of the request was read.
	early bool
	// ends are what happens to the connection then, one after the other: shutdown, reset, close, or keep.
	ends []string
}

func newPeer(d *datadriven.TestData) peer {
	p := peer{
		text:  strings.ReplaceAll(d.Input, "\n", "\r\n"),
		early: d.HasArg("early"),
		ends:  []string{"keep"},
	}
	p.text = strings.NewReplacer(`\r`, "\r", `\n`, "\n", `\t`, "\t", `\x01`, "\x01", `\s`, " ").Replace(p.text)
	if arg, ok := d.Arg("end"); ok {
		p.ends = arg.Vals
	}
	return p
}

// start serves until the end of the test, and returns the address.
func (p peer) start(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c.(*net.TCPConn))
		}
	}()
	return l.Addr().String()
}

func (p peer) serve(c *net.TCPConn) {
	const (
		receiveBufferBytes = 4 << 10
		endInterval        = 2 * time.Millisecond
	)
	defer c.Close()
	_ = c.SetReadBuffer(receiveBufferBytes) // A long upload fills it.
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if !p.early {
			_, _ = io.Copy(io.Discard, req.Body)
		}
		_, _ = io.WriteString(c, p.text)
		for _, end := range p.ends {
			time.Sleep(endInterval)
			switch end {
			case "shutdown":
				_ = c.CloseWrite()
			case "drain":
				_, _ = io.Copy(io.Discard, r)
			case "reset":
				_ = c.SetLinger(0)
				return
			case "close":
				return
			}
		}
		_, _ = io.Copy(io.Discard, req.Body)
	}
}

// TestScripts plays what a server sends to requests, the input of a directive "exchange". Its argument end tells how the
// connection ends, early that the server answers before it has read the upload, and count how many requests are sent,
// since some orders of events are rare.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			upload, count := 0, 1
			d.MaybeScanArgs(t, "upload", &upload)
			d.MaybeScanArgs(t, "count", &count)
			return exchange(t, newPeer(d).start(t), upload, count)
		})
	})
}

// exchange sends requests at once and returns the different results.
func exchange(t *testing.T, addr string, upload, count int) string {
	const timeout = 10 * time.Second
	transport := New(Config{
		Base: &http.Transport{},
	})
	defer transport.CloseIdleConnections()
	client := &http.Client{
		Transport: transport,
		Timeout:   timeout,
	}
	var mu sync.Mutex
	var results []string
	var g sync.WaitGroup
	for range count {
		g.Go(func() {
			result := readWhole(client, addr, upload)
			mu.Lock()
			defer mu.Unlock()
			if !slices.Contains(results, result) {
				results = append(results, result)
			}
		})
	}
	g.Wait()
	slices.Sort(results)
	return strings.Join(results, "")
}

// readWhole sends a request and returns what the response looks like.
func readWhole(client *http.Client, addr string, upload int) string {
	res, err := client.Post("http://"+addr+"/", "", strings.NewReader(strings.Repeat("u", upload)))
	if err != nil {
		return "broken\n"
	}
	defer res.Body.Close()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return "broken\n"
	}
	return fmt.Sprintf("%d %q\n", res.StatusCode, body)
}
