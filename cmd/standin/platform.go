package main

import (
	"context"
	"flag"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/standin/control"
	"sequoiafork/internal/standin/hostlist"
	"sequoiafork/internal/standin/logservice"
	"sequoiafork/internal/standin/weightstore"
	"sequoiafork/internal/wire/platformapi"
	"sequoiafork/internal/wire/standinapi"
)

const defaultListen = "127.0.0.1:0"

func newFlagSet(name string, listen *string) *flag.FlagSet {
	flags := flag.NewFlagSet("standin "+name, flag.ContinueOnError)
	flags.StringVar(listen, "listen", defaultListen, "IP:port to listen on; port 0 picks a free port")
	return flags
}

func servePlatform(ctx context.Context, c *control.Control, listen string, h platformapi.Handler) error {
	server, err := platformapi.NewServer(h)
	if err != nil {
		return err
	}
	return c.Serve(ctx, listen, server, os.Stdout)
}

func logCommand() *ffcli.Command {
	var (
		listen           string
		appendsPerSecond float64
		burst            int
		retain           int64
	)
	flags := newFlagSet("log", &listen)
	flags.Float64Var(&appendsPerSecond, "appends-per-second", logservice.DefaultAppendsPerSecond, "rate limit in appends per second; others get 429")
	flags.IntVar(&burst, "burst", logservice.DefaultBurst, "burst size of the rate limit")
	flags.Int64Var(&retain, "retain-records", 0, "number of records retained; 0 retains all")
	return &ffcli.Command{
		Name:       "log",
		ShortUsage: "standin log [flags]",
		ShortHelp:  "the append-only log service",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			c := control.New(control.Config{})
			c.Faults.Set(standinapi.Faults{
				RetainRecords: standinapi.NewOptInt64(retain),
			})
			log := logservice.New(logservice.Config{
				Control:          c,
				AppendsPerSecond: appendsPerSecond,
				Burst:            burst,
			})
			return servePlatform(ctx, c, listen, logservice.NewHandler(log))
		},
	}
}

func hostListCommand() *ffcli.Command {
	var listen string
	var lag time.Duration
	flags := newFlagSet("hostlist", &listen)
	flags.DurationVar(&lag, "lag", 0, "how far the served list lags behind the true set of hosts")
	return &ffcli.Command{
		Name:       "hostlist",
		ShortUsage: "standin hostlist [flags]",
		ShortHelp:  "the lagging host list",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			list := &hostlist.List{}
			list.Control = control.New(control.Config{
				OnHosts: list.Set,
			})
			list.Control.Faults.Set(standinapi.Faults{
				LagMs: standinapi.NewOptInt64(lag.Milliseconds()),
			})
			return servePlatform(ctx, list.Control, listen, list)
		},
	}
}

func weightsCommand() *ffcli.Command {
	var (
		listen           string
		fetchesPerSecond float64
		serviceMs        int
	)
	flags := newFlagSet("weights", &listen)
	flags.Float64Var(&fetchesPerSecond, "fetches-per-second", weightstore.DefaultFetchesPerSecond, "rate limit in fetches per second; others get 429")
	flags.IntVar(&serviceMs, "service-ms", int(weightstore.DefaultServiceTime.Milliseconds()), "duration of a fetch in milliseconds")
	return &ffcli.Command{
		Name:       "weights",
		ShortUsage: "standin weights [flags]",
		ShortHelp:  "the rate-limited weight store",
		FlagSet:    flags,
		Exec: func(ctx context.Context, _ []string) error {
			c := control.New(control.Config{})
			store := weightstore.New(weightstore.Config{
				Control:          c,
				FetchesPerSecond: fetchesPerSecond,
				ServiceTime:      time.Duration(serviceMs) * time.Millisecond,
			})
			return servePlatform(ctx, c, listen, store)
		},
	}
}
