package main

import (
	"context"
	"errors"
	"flag"
	"os"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/replay"
)

// playCommand returns the command that plays a trace against running daemons.
func playCommand() *ffcli.Command {
	fs := flag.NewFlagSet("replay play", flag.ContinueOnError)
	path := fs.String("trace", "", "path of the trace file")
	entries := fs.String("entry", "", "comma-separated IP:port addresses of the daemons' caller interfaces")
	return &ffcli.Command{
		Name:       "play",
		ShortUsage: "replay play -trace FILE -entry IP:PORT,...",
		ShortHelp:  "play a trace open-loop against running daemons",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *path == "" || *entries == "" {
				return errors.New("flags -trace and -entry are required")
			}
			trace, err := replay.LoadTrace(*path)
			if err != nil {
				return err
			}
			run, err := replay.PlayHTTP(ctx, trace, strings.Split(*entries, ","))
			if err != nil {
				return err
			}
			return replay.WriteDetails(os.Stdout, run)
		},
	}
}
