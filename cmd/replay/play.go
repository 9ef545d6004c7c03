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

// playCommand plays a trace against running daemons.
func playCommand() *ffcli.Command {
	fs := flag.NewFlagSet("replay play", flag.ContinueOnError)
	path := fs.String("trace", "", "file of the trace")
	entries := fs.String("entry", "", "comma-separated IP:port of the daemons' caller interface")
	return &ffcli.Command{
		Name:       "play",
		ShortUsage: "replay play -trace FILE -entry IP:PORT,...",
		ShortHelp:  "play a trace open-loop against running daemons",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			if *path == "" || *entries == "" {
				return errors.New("play needs -trace and -entry")
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
