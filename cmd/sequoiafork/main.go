// Command sequoiafork is the command line client for operators and callers: it edits
// the tables of a running system, shows its hosts and sends requests to it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"sequoiafork/internal/cli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := cli.Run(ctx, cli.Config{
		Args:        os.Args[1:],
		Input:       os.Stdin,
		Output:      os.Stdout,
		ErrorOutput: os.Stderr,
	})
	stop()
	os.Exit(int(code))
}
