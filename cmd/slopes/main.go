// Slopes measures how the cost of the control traffic between daemons grows with their
// number. It runs the peer protocol of several daemons in one process over loopback and
// prints one line for each cluster size, then a linear fit of each metric. "slopes log"
// does the same for the reads of the log, as a function of the rate of edits.
//
//	go run ./cmd/slopes -sizes 5,10,20,40,80
//	go run ./cmd/slopes log -rates 0,1,5,20
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
)

// settings are the flags of the command.
type settings struct {
	sizes  []int
	rounds int
	settle time.Duration
	window time.Duration
	target int
}

func main() {
	if err := command().ParseAndRun(context.Background(), os.Args[1:]); err != nil && !errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func command() *ffcli.Command {
	fs := flag.NewFlagSet("slopes", flag.ContinueOnError)
	sizes := fs.String("sizes", "5,10,20,40,80", "numbers of daemons, separated by commas")
	rounds := fs.Int("rounds", 2, "runs of each size")
	settle := fs.Duration("settle", 15*time.Second, "time for the cluster to settle before the idle cost is measured")
	window := fs.Duration("window", 10*time.Second, "time over which the idle cost is measured")
	target := fs.Int("target", 340, "number of daemons that the fit is extrapolated to")
	return &ffcli.Command{
		Name:       "slopes",
		ShortUsage: "slopes [flags]",
		FlagSet:    fs,
		Subcommands: []*ffcli.Command{
			logCommand(),
		},
		Exec: func(ctx context.Context, _ []string) error {
			list, err := parseSizes(*sizes)
			if err != nil {
				return err
			}
			return measureAll(ctx, settings{
				sizes:  list,
				rounds: *rounds,
				settle: *settle,
				window: *window,
				target: *target,
			})
		},
	}
}

func logCommand() *ffcli.Command {
	fs := flag.NewFlagSet("slopes log", flag.ContinueOnError)
	rates := fs.String("rates", "0,1,5,20", "edits per second, separated by commas")
	readers := fs.Int("readers", 20, "number of daemons that read the log")
	rounds := fs.Int("rounds", 2, "runs of each rate")
	window := fs.Duration("window", 10*time.Second, "time over which the cost is measured")
	return &ffcli.Command{
		Name:       "log",
		ShortUsage: "slopes log [flags]",
		FlagSet:    fs,
		Exec: func(ctx context.Context, _ []string) error {
			list, err := parseRates(*rates)
			if err != nil {
				return err
			}
			return measureLogs(ctx, logSettings{
				rates:   list,
				readers: *readers,
				rounds:  *rounds,
				window:  *window,
			})
		},
	}
}

func parseRates(s string) ([]float64, error) {
	var rates []float64
	for _, f := range strings.Split(s, ",") {
		r, err := strconv.ParseFloat(f, 64)
		if err != nil || r < 0 {
			return nil, fmt.Errorf("flag -rates: %q is not a number of at least 0", f)
		}
		rates = append(rates, r)
	}
	return rates, nil
}

func parseSizes(s string) ([]int, error) {
	var sizes []int
	for _, f := range strings.Split(s, ",") {
		n, err := strconv.Atoi(f)
		if err != nil || n < 2 {
			return nil, fmt.Errorf("flag -sizes: %q is not a number of at least 2", f)
		}
		sizes = append(sizes, n)
	}
	return sizes, nil
}

func measureAll(ctx context.Context, s settings) error {
	var points []point
	for range s.rounds {
		for _, n := range s.sizes {
			p, err := measure(ctx, n, s)
			if err != nil {
				return fmt.Errorf("%d daemons: %w", n, err)
			}
			fmt.Println(p)
			points = append(points, p)
		}
	}
	for _, f := range fitAll(points, s.target) {
		fmt.Println(f)
	}
	return nil
}
