package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/go-faster/jx"
	"github.com/peterbourgon/ff/v3/ffcli"

	"sequoiafork/internal/wire/operatorapi"
)

func (a *app) hostsCommand() *ffcli.Command {
	return a.leafCommand(a.flagSet("hosts"), "hosts", "sequoiafork hosts", "daemons and upstreams", func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return badInput("hosts takes no argument")
		}
		var hosts *operatorapi.HostList
		err := a.query(ctx, func(ctx context.Context, c *operatorapi.Client) (err error) {
			hosts, err = c.ListHosts(ctx)
			return err
		})
		if err != nil {
			return err
		}
		if a.json {
			return a.printJSON(hosts)
		}
		printHosts(a.printer(), hosts)
		return nil
	})
}

func printHosts(p printer, hosts *operatorapi.HostList) {
	p.linef("%d daemons", len(hosts.Daemons))
	for _, d := range hosts.Daemons {
		p.linef("%s %s %s r%d", d.CallerAddr, d.DataCentre, d.State, d.Revision)
	}
	p.linef("%d upstreams", len(hosts.Upstreams))
	for _, u := range hosts.Upstreams {
		text := fmt.Sprintf("%s %s %s %s", u.Addr, u.Service, u.DataCentre, u.State)
		if n, ok := u.InFlight.Get(); ok && n > 0 {
			text += fmt.Sprintf(" %d in flight", n)
		}
		if reason, ok := u.Reason.Get(); ok && reason != "" {
			text += " (" + reason + ")"
		}
		p.wrapped("", text)
	}
}

func (a *app) dumpCommand() *ffcli.Command {
	return a.leafCommand(a.flagSet("dump"), "dump", "sequoiafork dump [KEY...]", "state of a daemon, or its part under the keys", func(ctx context.Context, args []string) error {
		var state jx.Raw
		err := a.query(ctx, func(ctx context.Context, c *operatorapi.Client) (err error) {
			state, err = c.DumpState(ctx)
			return err
		})
		if err != nil {
			return err
		}
		value, err := lookUpPath(json.RawMessage(state), args)
		if err != nil {
			return err
		}
		if a.json {
			return a.printJSON(value)
		}
		var indented bytes.Buffer
		if err := json.Indent(&indented, value, "", " "); err != nil {
			return fmt.Errorf("the dump is not JSON: %w", err)
		}
		fmt.Fprintln(a.output, indented.String())
		return nil
	})
}

// lookUpPath returns the value at a path of keys in nested JSON objects.
func lookUpPath(value json.RawMessage, keys []string) (json.RawMessage, error) {
	for i, key := range keys {
		var object map[string]json.RawMessage
		if err := json.Unmarshal(value, &object); err != nil {
			return nil, badInput("%s is not an object", strings.Join(keys[:i], " "))
		}
		next, ok := object[key]
		if !ok {
			return nil, badInput("no key %q in the dump", key)
		}
		value = next
	}
	return value, nil
}

func (a *app) drainCommand() *ffcli.Command {
	return a.leafCommand(a.flagSet("drain"), "drain", "sequoiafork drain -addr IP:port", "stop one daemon gracefully", func(ctx context.Context, args []string) error {
		if len(args) != 0 {
			return badInput("drain takes no argument")
		}
		if strings.Contains(a.addr, ",") {
			return badInput("drain stops one daemon: give one -addr")
		}
		client, err := a.operatorClient()
		if err != nil {
			return err
		}
		var state *operatorapi.DrainState
		err = client.Command(ctx, func(ctx context.Context, c *operatorapi.Client) (err error) {
			state, err = c.Drain(ctx)
			return err
		})
		if err != nil {
			return err
		}
		if a.json {
			return a.printJSON(state)
		}
		a.printer().linef("%s: %s, %d in flight", a.addr, state.State, state.InFlight)
		return nil
	})
}
