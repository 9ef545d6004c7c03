package http1

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var (
	// lenientClient matches what reads responses without a Transport of this package, and lenientReader what reads them
	// without a Conn.
	lenientClient = regexp.MustCompile(`http\.(DefaultClient|Get\(|Post\(|Head\(|Client\{\})`)
	lenientReader = regexp.MustCompile(`http\.(ReadResponse\(|Transport\{|DefaultTransport)`)
)

// TestAllClientsReadStrictly guards against a client that reads the responses of servers in another way than the others.
func TestAllClientsReadStrictly(t *testing.T) {
	for _, root := range []string{"../../internal", "../../platform", "../../cmd"} {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil {
				return err
			}
			if d.IsDir() && (d.Name() == "standin" || d.Name() == "wire") {
				return filepath.SkipDir
			}
			if !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") || strings.HasPrefix(path, "../../internal/http1/") {
				return nil
			}
			source, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			require.Empty(t, lenientClient.FindString(string(source)), path)
			if lenientReader.Match(source) && !strings.Contains(path, "/upstreamhttp/") {
				require.Contains(t, string(source), "http1.New(", path)
			}
			return nil
		})
		require.NoError(t, err)
	}
}
