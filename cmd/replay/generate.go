package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/replay"
)

// generateCommand returns the command that writes a trace to standard output.
func generateCommand() *ffcli.Command {
	fs := flag.NewFlagSet("replay generate", flag.ContinueOnError)
	deployment := fs.String("deployment", "", "path of the deployment file")
	var g replay.Generator
	fs.Uint64Var(&g.Seed, "seed", 1, "seed of the random choices")
	fs.DurationVar(&g.Length, "length", time.Minute, "length of the trace")
	fs.Float64Var(&g.PerSecond, "rate", 1, "mean arrivals per second")
	fs.IntVar(&g.Prefixes, "prefixes", 1, "number of distinct prompt prefixes of each workspace")
	fs.Float64Var(&g.BurstFactor, "burst", 1, "multiple of the rate during the burst or flood")
	fs.DurationVar(&g.BurstAt, "burst-at", 0, "start of the burst or flood")
	fs.DurationVar(&g.BurstLength, "burst-length", 0, "length of the burst or flood")
	fs.StringVar(&g.FloodWorkspace, "flood", "", "workspace that sends the additional traffic; empty means all of them")
	return &ffcli.Command{
		Name:       "generate",
		ShortUsage: "replay generate -deployment FILE [flags]",
		ShortHelp:  "write a trace to standard output",
		FlagSet:    fs,
		Exec: func(context.Context, []string) error {
			d, err := replay.LoadDeployment(*deployment)
			if err != nil {
				return err
			}
			g.Deployment = d
			return replay.WriteTrace(os.Stdout, g.Generate())
		},
	}
}
