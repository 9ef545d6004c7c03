package cli

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/callerclient"
	"sequoiafork/internal/wire/callerapi"
)

// callFlags are the flags of callers' commands.
type callFlags struct {
	caller     string
	dataCentre string
	direct     bool
	request    callerclient.Request
	inputFile  string
	stream     bool
}

func (f *callFlags) register(fs *flag.FlagSet) {
	fs.StringVar(&f.caller, "caller", "sequoiafork", "name of this caller")
	fs.StringVar(&f.dataCentre, "data-centre", "", "data centre of this caller")
	fs.BoolVar(&f.direct, "direct", false, "send to -addr, don't resolve addresses")
}

func (a *app) callerClient(f callFlags) (*callerclient.Client, error) {
	if a.callerAddr == "" {
		return nil, badInput("no daemon address: give -addr IP:port or set %s_CALLER_ADDR", EnvPrefix)
	}
	client, err := callerclient.New(callerclient.Config{
		Addrs:       strings.Split(a.callerAddr, ","),
		Caller:      f.caller,
		DataCentre:  f.dataCentre,
		SkipResolve: f.direct,
	})
	if err != nil {
		return nil, badInput("%w", err)
	}
	return client, nil
}

func (a *app) callCommand() *ffcli.Command {
	var f callFlags
	fs := a.callerFlagSet("call")
	f.register(fs)
	fs.StringVar(&f.request.Workspace, "workspace", "", "workspace that the request belongs to")
	fs.StringVar(&f.request.Input, "input", "", "input of the request")
	fs.StringVar(&f.inputFile, "input-file", "", "file with the input; -: standard input")
	fs.StringVar(&f.request.Key, "key", "", "idempotency key: runs at most once")
	fs.DurationVar(&f.request.Deadline, "deadline", 0, "time limit; 0: the deadline of the route")
	fs.BoolVar(&f.stream, "stream", false, "print the response as it arrives")
	return a.leafCommand(fs, "call", "sequoiafork call ROUTE -workspace W -input TEXT", "send one request", func(ctx context.Context, args []string) error {
		name, err := singleArg("route", args)
		if err != nil {
			return err
		}
		f.request.Route = name
		if err := a.readInput(&f); err != nil {
			return err
		}
		return a.call(ctx, f)
	})
}

func (a *app) readInput(f *callFlags) error {
	if f.request.Workspace == "" {
		return badInput("give -workspace")
	}
	if f.request.Deadline < 0 {
		return badInput("-deadline %v: use a positive duration", f.request.Deadline)
	}
	if f.inputFile == "" {
		return nil
	}
	if f.request.Input != "" {
		return badInput("give -input or -input-file, not both")
	}
	var data []byte
	var err error
	if f.inputFile == "-" {
		data, err = io.ReadAll(a.input)
	} else {
		data, err = os.ReadFile(f.inputFile)
	}
	if err != nil {
		return badInput("read the input: %w", err)
	}
	f.request.Input = string(data)
	return nil
}

func (a *app) call(ctx context.Context, f callFlags) error {
	client, err := a.callerClient(f)
	if err != nil {
		return err
	}
	if !f.stream {
		response, err := client.Call(ctx, f.request)
		if err != nil {
			return err
		}
		return a.printResponse(response)
	}
	response, err := client.Stream(ctx, f.request, func(text string) {
		if !a.json {
			fmt.Fprint(a.output, text)
		}
	})
	if !a.json {
		fmt.Fprintln(a.output)
	}
	if err != nil {
		return err
	}
	if a.json {
		return a.printJSON(response)
	}
	return nil
}

func (a *app) printResponse(response *callerapi.Answer) error {
	if a.json {
		return a.printJSON(response)
	}
	_, err := fmt.Fprintln(a.output, response.Output)
	return err
}

// printOutcome prints the outcome of a request that was not answered.
func printOutcome(p printer, e *callerclient.OutcomeError) {
	o := e.Outcome
	p.linef("%s: %s", strings.ReplaceAll(string(o.Outcome), "_", " "), o.Code)
	p.wrapped("", o.Message)
	if field, ok := o.Field.Get(); ok {
		p.linef("field %s", field)
	}
	if stage, ok := o.Stage.Get(); ok {
		p.linef("stage %s", stage)
	}
	if delay := e.RetryAfter(); delay > 0 {
		p.linef("retry after %v", delay)
	}
	if id, ok := o.RequestID.Get(); ok {
		p.linef("request %s", id)
	}
}

func (a *app) keyCommand() *ffcli.Command {
	return a.groupCommand(a.callerFlagSet("key"), "key", "sequoiafork key COMMAND", "idempotency keys", a.keyIssueCommand(), a.keyShowCommand())
}

func (a *app) keyIssueCommand() *ffcli.Command {
	var f callFlags
	fs := a.callerFlagSet("issue")
	f.register(fs)
	return a.leafCommand(fs, "issue", "sequoiafork key issue", "get a key that runs at most once", func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return badInput("key issue takes no argument")
		}
		client, err := a.callerClient(f)
		if err != nil {
			return err
		}
		key, err := client.IssueKey(ctx)
		if err != nil {
			return err
		}
		if a.json {
			return a.printJSON(key)
		}
		// The key is not wrapped, so that it can be copied from one line.
		fmt.Fprintln(a.output, key.Key)
		a.printer().linef("valid for %v", milliseconds(key.ValidMs))
		return nil
	})
}

func (a *app) keyShowCommand() *ffcli.Command {
	var f callFlags
	fs := a.callerFlagSet("show")
	f.register(fs)
	fs.StringVar(&f.request.Workspace, "workspace", "", "workspace that the request belongs to")
	return a.leafCommand(fs, "show", "sequoiafork key show KEY -workspace W", "outcome of a request", func(ctx context.Context, args []string) error {
		key, err := singleArg("key", args)
		if err != nil {
			return err
		}
		if f.request.Workspace == "" {
			return badInput("give -workspace")
		}
		client, err := a.callerClient(f)
		if err != nil {
			return err
		}
		state, err := client.ShowKey(ctx, f.request.Workspace, key)
		if err != nil {
			return err
		}
		return a.printKeyState(state)
	})
}

var keyExitCodes = map[callerapi.KeyStateState]ExitCode{
	callerapi.KeyStateStateNotRun:  ExitNotRun,
	callerapi.KeyStateStateFailed:  ExitFailed,
	callerapi.KeyStateStateUnknown: ExitUnknown,
}

func (a *app) printKeyState(state *callerapi.KeyState) error {
	if a.json {
		if err := a.printJSON(state); err != nil {
			return err
		}
	} else {
		a.printKeyText(state)
	}
	if code := keyExitCodes[state.State]; code != ExitOK {
		return &ExitError{
			Code: code,
		}
	}
	return nil
}

func (a *app) printKeyText(state *callerapi.KeyState) {
	p := a.printer()
	if outcome, ok := state.Outcome.Get(); ok {
		printOutcome(p, &callerclient.OutcomeError{
			Outcome: outcome,
		})
		return
	}
	p.linef("%s", strings.ReplaceAll(string(state.State), "_", " "))
	if answer, ok := state.Answer.Get(); ok {
		fmt.Fprintln(a.output, answer.Output)
	}
}

func (a *app) resolveCommand() *ffcli.Command {
	var f callFlags
	fs := a.callerFlagSet("resolve")
	f.register(fs)
	return a.leafCommand(fs, "resolve", "sequoiafork resolve", "addresses that a caller should use", func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return badInput("resolve takes no argument")
		}
		client, err := a.callerClient(f)
		if err != nil {
			return err
		}
		resolution, err := client.Resolve(ctx)
		if err != nil {
			return err
		}
		if a.json {
			return a.printJSON(resolution)
		}
		p := a.printer()
		p.lines("", resolution.Addresses)
		p.linef("cache for %v", milliseconds(resolution.KeepMs))
		return nil
	})
}

func milliseconds(ms int64) time.Duration {
	return time.Duration(ms) * time.Millisecond
}
