// Package cli implements the command line for operators and callers. Its text output
// fits 40 columns; -json prints the wire format for scripts.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/callerclient"
	"sequoiafork/internal/operatorclient"
	"sequoiafork/internal/wire/operatorapi"
)

// EnvPrefix is the prefix of the environment variables that set flags, such as
// SEQUOIAFORK_ADDR, SEQUOIAFORK_CALLER_ADDR and SEQUOIAFORK_AUTHOR.
const EnvPrefix = "SEQUOIAFORK"

// Config holds the arguments and the standard streams of a run.
type Config struct {
	Args        []string
	Input       io.Reader
	Output      io.Writer
	ErrorOutput io.Writer
}

// app is the state of one run of the command line: its streams and global flags.
type app struct {
	input  io.Reader
	output io.Writer
	// usage collects the output of the flag sets, such as the help text.
	usage bytes.Buffer

	addr       string
	callerAddr string
	json       bool
	timeout    time.Duration
	author     string
}

// Run runs one command and returns its exit code.
func Run(ctx context.Context, config Config) ExitCode {
	a := &app{
		input:  config.Input,
		output: config.Output,
	}
	err := a.run(ctx, config.Args)
	if errors.Is(err, flag.ErrHelp) {
		fmt.Fprintln(config.Output, strings.TrimSpace(a.usage.String()))
		return ExitOK
	}
	code := exitCode(err)
	var exit *ExitError
	if err == nil || errors.As(err, &exit) && exit.Err == nil {
		return code
	}
	a.printError(config.ErrorOutput, err, code)
	return code
}

func (a *app) run(ctx context.Context, args []string) error {
	root := a.rootCommand()
	if err := root.Parse(args); err != nil {
		return badInput("%w", err)
	}
	return root.Run(ctx)
}

func (a *app) rootCommand() *ffcli.Command {
	fs := a.flagSet("sequoiafork")
	fs.StringVar(&a.callerAddr, "caller-addr", "", "callers' addresses, IP:port,...")
	root := a.groupCommand(fs, "sequoiafork", "sequoiafork COMMAND", "edit tables, show hosts, call routes",
		a.routeCommand(),
		a.poolCommand(),
		a.editCommand(),
		a.hostsCommand(),
		a.dumpCommand(),
		a.drainCommand(),
		a.callCommand(),
		a.keyCommand(),
		a.resolveCommand(),
		a.checkCommand(),
		a.traceCommand(),
	)
	root.LongHelp = "exit: 0 ok, 1 other, 2 bad input,\n 3 refused, 4 conflict, 5 unknown,\n 6 not run, 7 failed"
	root.Options = []ff.Option{
		ff.WithEnvVarPrefix(EnvPrefix),
	}
	return root
}

// groupCommand returns a command that only has subcommands.
func (a *app) groupCommand(fs *flag.FlagSet, name, usage, help string, subcommands ...*ffcli.Command) *ffcli.Command {
	var names []string
	for _, c := range subcommands {
		names = append(names, c.Name)
	}
	cmd := &ffcli.Command{
		Name:        name,
		ShortUsage:  usage,
		ShortHelp:   help,
		FlagSet:     fs,
		UsageFunc:   usageText,
		Subcommands: subcommands,
	}
	cmd.Exec = func(_ context.Context, args []string) error {
		if len(args) > 0 {
			return badInput("unknown command %q: use %s", args[0], strings.Join(names, ", "))
		}
		fmt.Fprint(a.output, usageText(cmd))
		return &ExitError{
			Code: ExitBadInput,
		}
	}
	return cmd
}

// execFunc runs a command with its arguments, without the flags.
type execFunc func(ctx context.Context, args []string) error

// leafCommand returns a command without subcommands, whose flags may also follow its
// arguments.
func (a *app) leafCommand(fs *flag.FlagSet, name, usage, help string, exec execFunc) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: usage,
		ShortHelp:  help,
		FlagSet:    fs,
		UsageFunc:  usageText,
		Exec: func(ctx context.Context, args []string) error {
			rest, err := parseInterspersed(fs, args)
			if err != nil {
				return err
			}
			return exec(ctx, rest)
		},
	}
}

// parseInterspersed parses the flags among the arguments and returns the other
// arguments. All arguments after -- are returned.
func parseInterspersed(fs *flag.FlagSet, args []string) ([]string, error) {
	var rest []string
	for len(args) > 0 {
		if len(args[0]) < 2 || args[0][0] != '-' {
			rest = append(rest, args[0])
			args = args[1:]
			continue
		}
		if args[0] == "--" {
			return append(rest, args[1:]...), nil
		}
		if err := fs.Parse(args); err != nil {
			return nil, &ExitError{
				Code: ExitBadInput,
				Err:  err,
			}
		}
		args = fs.Args()
	}
	return rest, nil
}

// flagSet returns a flag set with the flags of operators' commands. -addr is the
// operators' address.
func (a *app) flagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&a.usage)
	fs.StringVar(&a.addr, "addr", "", "operators' addresses, IP:port,...")
	a.registerCommonFlags(fs)
	return fs
}

// callerFlagSet is like flagSet for callers' commands. -addr is the callers' address.
func (a *app) callerFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(&a.usage)
	fs.StringVar(&a.callerAddr, "addr", "", "callers' addresses, IP:port,...")
	a.registerCommonFlags(fs)
	return fs
}

func (a *app) registerCommonFlags(fs *flag.FlagSet) {
	fs.BoolVar(&a.json, "json", false, "print JSON")
	fs.DurationVar(&a.timeout, "timeout", operatorclient.DefaultTimeout, "timeout of one request")
	fs.StringVar(&a.author, "author", "", "author of the edit")
}

func (a *app) operatorClient() (*operatorclient.Client, error) {
	if a.addr == "" {
		return nil, badInput("no daemon address: give -addr IP:port or set %s_ADDR", EnvPrefix)
	}
	client, err := operatorclient.New(operatorclient.Config{
		Addrs:   strings.Split(a.addr, ","),
		Timeout: a.timeout,
	})
	if err != nil {
		return nil, badInput("%w", err)
	}
	return client, nil
}

// query runs a read-only request against the daemons in turn until one responds.
func (a *app) query(ctx context.Context, send func(context.Context, *operatorapi.Client) error) error {
	client, err := a.operatorClient()
	if err != nil {
		return err
	}
	return client.Query(ctx, send)
}

// printError prints an error and its problems, with -json also the exit code.
func (a *app) printError(w io.Writer, err error, code ExitCode) {
	var status *operatorapi.ErrorStatusCode
	var problems []operatorapi.Problem
	message := err.Error()
	if errors.As(err, &status) {
		message = status.Response.Message
		problems = status.Response.Problems
	}
	var outcome *callerclient.OutcomeError
	if a.json {
		report := errorReport{
			Exit:     code,
			Message:  message,
			Problems: problems,
		}
		if errors.As(err, &outcome) {
			report.Outcome = &outcome.Outcome
		}
		data, _ := json.Marshal(report)
		fmt.Fprintln(w, string(data))
		return
	}
	p := printer{
		w: w,
	}
	if errors.As(err, &outcome) {
		printOutcome(p, outcome)
		return
	}
	p.wrapped("", message)
	printProblems(p, problems)
}
