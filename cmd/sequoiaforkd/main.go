// Command sequoiaforkd is the daemon that runs on each entry host, a host that accepts
// callers' requests.
//
//	sequoiaforkd -config sequoiaforkd.ini
//	sequoiaforkd -config sequoiaforkd.ini -check
//
// The kind of platform in the settings decides whether the daemon runs the pipelines that
// operators define in tables or forwards the opaque requests of the users' platform.
//
// SIGTERM and SIGINT start a graceful stop; a second signal has no effect. SIGUSR1 writes a state
// dump to standard error. On a platform of kind "keyed_log", SIGHUP reloads the settings file.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"go.uber.org/zap"

	"sequoiafork/internal/daemon"
	"sequoiafork/internal/logging"
	"sequoiafork/internal/settings"
)

// Exit codes.
const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

// gcPercent lets the heap grow to five times the live heap. The live heap is a few
// megabytes, so the garbage collector would otherwise run many times a second.
const gcPercent = 400

// memoryLimit is the size in bytes from which on the garbage collector runs more often than
// gcPercent asks for. Buffers of responses may make the live heap many times larger than usual.
const memoryLimit = 192 << 20

func main() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(memoryLimit)
	}
	os.Exit(run())
}

func run() int {
	cmd, err := settings.ParseCommandLine(os.Args[1:], settings.EnvPrefix, os.Stderr)
	switch {
	case errors.Is(err, flag.ErrHelp):
		return 0
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	case cmd.Example:
		fmt.Print(settings.Example())
		return 0
	case cmd.Check:
		fmt.Println("settings are valid")
		return 0
	}
	if err := serve(cmd); err != nil {
		fmt.Fprintln(os.Stderr, "sequoiaforkd:", err)
		return exitFailure
	}
	return 0
}

func serve(cmd settings.CommandLine) error {
	s := cmd.Settings
	logger, err := logging.New(logging.Config{
		Level:  s.Log.Level,
		Format: s.Log.Format,
	})
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	if s.Platform.Kind == settings.PlatformKindKeyedLog {
		return serveKeyedLog(cmd, logger)
	}
	d, err := daemon.New(daemon.Config{
		Settings: s,
		Logger:   logger,
	})
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	dump := make(chan os.Signal, 1)
	signal.Notify(dump, syscall.SIGUSR1)
	go handleSignals(d, logger, stop, dump)
	return d.Run(context.Background())
}

// handleSignals starts a drain of d on a signal from stop and writes a state dump on one
// from dump.
func handleSignals(d *daemon.Daemon, logger *zap.Logger, stop, dump <-chan os.Signal) {
	for {
		select {
		case sig := <-stop:
			logger.Info("signal received", zap.String("signal", sig.String()))
			d.Drain()
		case <-dump:
			if err := d.WriteDump(os.Stderr); err != nil {
				logger.Error("state dump failed", zap.Error(err))
			}
		}
	}
}
