package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/engine"
	"sequoiafork/internal/standin/invoke"
	"sequoiafork/internal/wire/platformapi"
	"sequoiafork/internal/wire/upstreamapi"
)

type invokeFlags struct {
	listen    string
	kind      string
	capacity  int
	maxQueue  int
	serviceMs float64
	seed      uint64
}

func (f *invokeFlags) register(name string) *flag.FlagSet {
	flags := newFlagSet(name, &f.listen)
	flags.IntVar(&f.capacity, "capacity", invoke.DefaultCapacity, "maximum number of calls that run at once")
	flags.IntVar(&f.maxQueue, "queue", invoke.DefaultMaxQueue, "maximum number of queued calls")
	flags.Float64Var(&f.serviceMs, "service-ms", milliseconds(invoke.DefaultServiceTime), "duration of a call on an idle upstream in milliseconds")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the random service times")
	return flags
}

func (f *invokeFlags) run(ctx context.Context) error {
	c := control.New(control.Config{})
	u := invoke.New(invoke.Config{
		Control:     c,
		Kind:        f.kind,
		Capacity:    f.capacity,
		MaxQueue:    f.maxQueue,
		ServiceTime: duration(f.serviceMs),
		Seed:        f.seed,
	})
	server, err := upstreamapi.NewServer(u, u)
	if err != nil {
		return err
	}
	return c.Serve(ctx, f.listen, server, os.Stdout)
}

func poolCommand() *ffcli.Command {
	var f invokeFlags
	flags := f.register("pool")
	flags.StringVar(&f.kind, "kind", "", "encoder, retriever or reranker")
	return &ffcli.Command{
		Name:       "pool",
		ShortUsage: "standin pool -kind KIND [flags]",
		ShortHelp:  "an encoder, retriever or reranker",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			kinds := []string{"encoder", "retriever", "reranker"}
			if !slices.Contains(kinds, f.kind) {
				return fmt.Errorf("-kind %q: want one of %s", f.kind, strings.Join(kinds, ", "))
			}
			return f.run(ctx)
		},
	}
}

func serviceCommand() *ffcli.Command {
	f := invokeFlags{
		kind: "service",
	}
	return &ffcli.Command{
		Name:       "service",
		ShortUsage: "standin service [flags]",
		ShortHelp:  "a plain service, whose calls may be non-idempotent",
		FlagSet:    f.register("service"),
		Exec: func(ctx context.Context, _ []string) error {
			return f.run(ctx)
		},
	}
}

type engineFlags struct {
	listen        string
	capacity      int
	tokenMs       float64
	cacheBlocks   int
	resumeTimeout time.Duration
	models        string
	checksFencing bool
	weights       string
	seed          uint64
}

func (f *engineFlags) register() *flag.FlagSet {
	flags := newFlagSet("engine", &f.listen)
	flags.IntVar(&f.capacity, "capacity", engine.DefaultCapacity, "maximum batch size")
	flags.Float64Var(&f.tokenMs, "service-ms", milliseconds(engine.DefaultTokenTime), "duration of one token in milliseconds, with a batch of one")
	flags.IntVar(&f.cacheBlocks, "cache-blocks", engine.DefaultCacheBlocks, "capacity of the prefix cache in blocks")
	flags.DurationVar(&f.resumeTimeout, "hold", engine.DefaultResumeTimeout, "how long an interrupted stream can be resumed")
	flags.StringVar(&f.models, "models", "", "comma-separated models loaded at startup")
	flags.BoolVar(&f.checksFencing, "checks-fencing", false, "reject model assignments with a stale fencing token")
	flags.StringVar(&f.weights, "weights", "", "IP:port of the weight store; if empty, models load instantly")
	flags.Uint64Var(&f.seed, "seed", 1, "seed of the random choice of dropped cache events")
	return flags
}

func engineCommand() *ffcli.Command {
	var f engineFlags
	return &ffcli.Command{
		Name:       "engine",
		ShortUsage: "standin engine [flags]",
		ShortHelp:  "a model engine",
		FlagSet:    f.register(),
		Exec: func(ctx context.Context, _ []string) error {
			return f.run(ctx)
		},
	}
}

func (f *engineFlags) run(ctx context.Context) error {
	weights, err := weightsClient(f.weights)
	if err != nil {
		return err
	}
	c := control.New(control.Config{})
	e := engine.New(engine.Config{
		Control:       c,
		Capacity:      f.capacity,
		TokenTime:     duration(f.tokenMs),
		CacheBlocks:   f.cacheBlocks,
		ResumeTimeout: f.resumeTimeout,
		Models:        splitList(f.models),
		ChecksFencing: f.checksFencing,
		Weights:       weights,
		Seed:          f.seed,
	})
	server, err := upstreamapi.NewServer(e, e)
	if err != nil {
		return err
	}
	go e.Run(ctx)
	return c.Serve(ctx, f.listen, server, os.Stdout)
}

func weightsClient(addr string) (*platformapi.Client, error) {
	if addr == "" {
		return nil, nil
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return nil, fmt.Errorf("-weights %q: want IP:port: %w", addr, err)
	}
	return platformapi.NewClient("http://" + addr)
}

func splitList(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(s, ",")
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}

func duration(ms float64) time.Duration {
	return time.Duration(ms * float64(time.Millisecond))
}
