// Command standin simulates a platform service or an upstream, one per process,
// for demonstrations and end-to-end tests:
//
//	standin log -listen 127.0.0.1:0
//
// Each stand-in prints "listening ADDR" when it is ready and serves its control
// endpoint under /control/ at the same address. Further subcommands set the hosts
// of a running stand-in, print its ledger, or print the expected output of a
// route.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	err := newCommand().ParseAndRun(ctx, os.Args[1:])
	if errors.Is(err, flag.ErrHelp) {
		return
	}
	if err != nil {
		fmt.Fprintf(os.Stderr, "standin: %v\n", err)
		os.Exit(1)
	}
}

func newCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "standin",
		ShortUsage: "standin <log|hostlist|weights|engine|pool|service|hosts|ledger|expect> [flags]",
		FlagSet:    flag.NewFlagSet("standin", flag.ContinueOnError),
		Subcommands: []*ffcli.Command{
			logCommand(),
			hostListCommand(),
			weightsCommand(),
			engineCommand(),
			poolCommand(),
			serviceCommand(),
			hostsCommand(),
			ledgerCommand(),
			expectCommand(),
		},
		Exec: func(context.Context, []string) error {
			return flag.ErrHelp
		},
	}
}
