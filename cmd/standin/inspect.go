package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/standin/oracle"
	"sequoiafork/internal/wire/standinapi"
)

// hostsCommand sets the true set of hosts of a running host list stand-in.
func hostsCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin hosts", flag.ContinueOnError)
	list := flags.String("hostlist", "", "IP:port of the host list")
	return &ffcli.Command{
		Name:       "hosts",
		ShortUsage: "standin hosts -hostlist IP:port DATA_CENTRE/SERVICE/IP:port...",
		ShortHelp:  "set the hosts of a running host list",
		FlagSet:    flags,
		Exec: func(ctx context.Context, args []string) error {
			api, err := controlClient(*list)
			if err != nil {
				return err
			}
			hosts := &standinapi.Hosts{
				Hosts: []standinapi.Host{},
			}
			for _, arg := range args {
				parts := strings.Split(arg, "/")
				if len(parts) != 3 {
					return fmt.Errorf("host %q: want DATA_CENTRE/SERVICE/IP:port", arg)
				}
				hosts.Hosts = append(hosts.Hosts, standinapi.Host{
					Addr:       parts[2],
					DataCentre: parts[0],
					Service:    parts[1],
					State:      standinapi.HostStateLive,
				})
			}
			return api.SetHosts(ctx, hosts)
		},
	}
}

// ledgerCommand prints what running upstream stand-ins actually executed.
func ledgerCommand() *ffcli.Command {
	return &ffcli.Command{
		Name:       "ledger",
		ShortUsage: "standin ledger IP:port...",
		ShortHelp:  "print what running upstreams executed",
		FlagSet:    flag.NewFlagSet("standin ledger", flag.ContinueOnError),
		Exec: func(ctx context.Context, addrs []string) error {
			w := tabwriter.NewWriter(os.Stdout, 0, 0, 1, ' ', 0)
			for _, addr := range addrs {
				api, err := controlClient(addr)
				if err != nil {
					return err
				}
				ledger, err := api.ReadLedger(ctx)
				if err != nil {
					return fmt.Errorf("ledger of %s: %w", addr, err)
				}
				for _, e := range ledger.Entries {
					fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\n", addr, e.Stage, entryStatus(e), e.AttemptID, e.Input)
				}
			}
			return w.Flush()
		},
	}
}

func entryStatus(e standinapi.Entry) string {
	if e.Completed {
		return "completed"
	}
	return "abandoned"
}

func controlClient(addr string) (*standinapi.Client, error) {
	if addr == "" {
		return nil, fmt.Errorf("address: want the IP:port of a running stand-in")
	}
	return standinapi.NewClient("http://" + addr)
}

// expectCommand prints the expected output of a route.
func expectCommand() *ffcli.Command {
	flags := flag.NewFlagSet("standin expect", flag.ContinueOnError)
	stages := flags.String("stages", "", "comma-separated stages, each KIND:NAME or engine:NAME:MODEL:TOKENS")
	return &ffcli.Command{
		Name:       "expect",
		ShortUsage: "standin expect -stages STAGES INPUT",
		ShortHelp:  "print the expected output of a route",
		FlagSet:    flags,
		Exec: func(_ context.Context, args []string) error {
			if len(args) != 1 {
				return fmt.Errorf("input: want one argument, got %d", len(args))
			}
			parsed, err := parseStages(*stages)
			if err != nil {
				return err
			}
			fmt.Println(oracle.Route(parsed, args[0]))
			return nil
		},
	}
}

func parseStages(text string) ([]oracle.Stage, error) {
	var stages []oracle.Stage
	for _, part := range splitList(text) {
		fields := strings.Split(part, ":")
		if len(fields) != 2 && len(fields) != 4 {
			return nil, fmt.Errorf("-stages: %q: want KIND:NAME or engine:NAME:MODEL:TOKENS", part)
		}
		stage := oracle.Stage{
			Kind: fields[0],
			Name: fields[1],
		}
		if len(fields) == 4 {
			tokens, err := strconv.Atoi(fields[3])
			if err != nil {
				return nil, fmt.Errorf("-stages: %q: tokens: %w", part, err)
			}
			stage.Model = fields[2]
			stage.MaxTokens = tokens
		}
		stages = append(stages, stage)
	}
	return stages, nil
}
