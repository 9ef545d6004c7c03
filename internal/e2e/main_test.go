package e2e

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// binDir holds the binaries that the tests start. With E2E_RACE set they are
// built with the race detector.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "e2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binDir = dir
	args := []string{"build", "-o", dir}
	if os.Getenv("E2E_RACE") != "" {
		args = append(args, "-race")
	}
	build := exec.Command("go", append(args, "./cmd/standin", "./cmd/sequoiaforkd")...)
	build.Dir = filepath.Join("..", "..")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the binaries:", err)
		return 1
	}
	return m.Run()
}
