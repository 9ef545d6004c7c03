package hostcapacity

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"
)

// TestScripts runs the scripts of testdata. Each line of "classes" and "least" is a list of hosts, in thousandths
// of a core or N*CAPACITY; "classes" prints the class of each beside the largest, and "least" the capacity below which
// hosts are left out, with the share of the capacity that remains. "divide" divides memory in megabytes. It guards against choices that move for a slightly larger
// host, and against leaving out so many hosts that the others can't carry the callers.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				switch d.Cmd {
				case "classes":
					fmt.Fprintln(&out, classes(parseHosts(t, line)))
				case "divide":
					fmt.Fprintln(&out, formatMemory(t, line))
				case "least":
					fmt.Fprintln(&out, formatLeast(parseHosts(t, line)))
				default:
					t.Fatalf("unknown command %q", d.Cmd)
				}
			}
			return out.String()
		})
	})
}

func parseHosts(t *testing.T, line string) []Capacity {
	var hosts []Capacity
	for field := range strings.FieldsSeq(line) {
		count, size, repeated := strings.Cut(field, "*")
		if !repeated {
			count, size = "1", field
		}
		n, err := strconv.Atoi(count)
		require.NoError(t, err)
		milliCores, err := strconv.ParseUint(size, 10, 32)
		require.NoError(t, err)
		for range n {
			hosts = append(hosts, Capacity{
				MilliCores: uint32(milliCores),
			})
		}
	}
	return hosts
}

func classes(hosts []Capacity) []int {
	var largest Capacity
	for _, c := range hosts {
		largest = largest.Max(c)
	}
	var list []int
	for _, c := range hosts {
		list = append(list, c.Class(largest))
	}
	return list
}

func formatLeast(hosts []Capacity) string {
	least := Least(hosts)
	sum, kept := uint32(0), uint32(0)
	for _, c := range hosts {
		sum += c.MilliCores
		if !c.Less(least) {
			kept += c.MilliCores
		}
	}
	return fmt.Sprintf("from %d, %d of %d remain", least.MilliCores, kept, sum)
}

// formatMemory returns how a host's memory is divided, in megabytes.
func formatMemory(t *testing.T, line string) string {
	megabytes, err := strconv.ParseFloat(strings.TrimSpace(line), 64)
	require.NoError(t, err)
	m := DivideMemory(megabytes)
	return fmt.Sprintf("heap %d, responses %d, store pages %d, snapshot %d", m.Heap/bytesPerMB, m.Responses/bytesPerMB, m.StorePages/bytesPerMB, m.Snapshot/bytesPerMB)
}
