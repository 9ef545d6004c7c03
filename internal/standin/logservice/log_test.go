package logservice_test

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/logservice"
	"sequoiafork/internal/wire/platformapi"
	"sequoiafork/internal/wire/standinapi"
)

// TestLog runs the append and read commands of the files in testdata.
func TestLog(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		synctest.Test(t, func(t *testing.T) {
			c := control.New(control.Config{})
			h := logservice.NewHandler(logservice.New(logservice.Config{
				Control:          c,
				AppendsPerSecond: 10,
				Burst:            4,
			}))
			datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
				return runLog(t, h, c, d)
			})
		})
	})
}

func runLog(t *testing.T, h *logservice.Handler, c *control.Control, d *datadriven.TestData) string {
	switch d.Cmd {
	case "append":
		var out strings.Builder
		for _, data := range strings.Fields(d.Input) {
			fmt.Fprintln(&out, appendRecord(h, data))
		}
		return out.String()
	case "read":
		var from, wait int64
		d.ScanArgs(t, "from", &from)
		d.MaybeScanArgs(t, "wait_ms", &wait)
		return readRecords(h, from, wait)
	case "retain":
		var n int64
		d.ScanArgs(t, "records", &n)
		c.Faults.Set(standinapi.Faults{
			RetainRecords: standinapi.NewOptInt64(n),
		})
		return "ok\n"
	case "sleep":
		time.Sleep(time.Second)
		return "ok\n"
	case "append_later":
		input := d.Input
		time.AfterFunc(50*time.Millisecond, func() {
			_ = appendRecord(h, input)
		})
		return "ok\n"
	}
	t.Fatalf("unknown command %q", d.Cmd)
	return ""
}

func appendRecord(h *logservice.Handler, data string) string {
	result, err := h.AppendRecord(context.Background(), &platformapi.AppendRequest{
		Data: []byte(data),
	}, platformapi.AppendRecordParams{
		Stream: "s",
	})
	if err != nil {
		return describe(err)
	}
	return fmt.Sprint(result.Offset)
}

func readRecords(h *logservice.Handler, from, waitMs int64) string {
	began := time.Now()
	result, err := h.ReadRecords(context.Background(), platformapi.ReadRecordsParams{
		Stream: "s",
		From:   from,
		WaitMs: platformapi.NewOptInt64(waitMs),
	})
	if err != nil {
		return describe(err) + "\n"
	}
	var out strings.Builder
	for _, r := range result.Records {
		fmt.Fprintf(&out, "%d %s\n", r.Offset, r.Data)
	}
	fmt.Fprintf(&out, "first %d end %d after %s\n", result.FirstOffset, result.EndOffset, time.Since(began))
	return out.String()
}

func describe(err error) string {
	var status *platformapi.ErrorStatusCode
	if !errors.As(err, &status) {
		return err.Error()
	}
	if first, ok := status.Response.FirstOffset.Get(); ok {
		return fmt.Sprintf("%d %s first %d", status.StatusCode, status.Response.Code, first)
	}
	return fmt.Sprintf("%d %s", status.StatusCode, status.Response.Code)
}

func TestAppendIsCounted(t *testing.T) {
	c := control.New(control.Config{})
	h := logservice.NewHandler(logservice.New(logservice.Config{
		Control: c,
	}))
	require.Equal(t, "1", appendRecord(h, "a"))
	require.EqualValues(t, 1, c.Ledger.Snapshot().Appends)
}
