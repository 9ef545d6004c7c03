// Command replay generates traces and plays them against running daemons.
//
//	replay generate -deployment testdata/deployments/hutwacht.json -seed 1 > trace.jsonl
//	replay play -trace trace.jsonl -entry 127.0.0.1:8080,127.0.0.1:8081
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"

	"github.com/peterbourgon/ff/v3/ffcli"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	err := root().ParseAndRun(ctx, os.Args[1:])
	if err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "replay:", err)
		os.Exit(1)
	}
}

func root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "replay",
		ShortUsage: "replay <generate|play> [flags]",
		Subcommands: []*ffcli.Command{
			generateCommand(),
			playCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}
