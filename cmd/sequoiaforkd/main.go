// Command sequoiaforkd is the daemon that runs on each entry host, a host that accepts
// callers' requests.
//
//	sequoiaforkd -config sequoiaforkd.ini
//	sequoiaforkd -config sequoiaforkd.ini -check
//
// The kind of platform in the settings decides whether the daemon runs the pipelines that
// operators define in tables or forwards the opaque requests of the users' platform.
//
// SIGTERM and SIGINT start a graceful stop; a second one has no effect. SIGUSR1 writes a state dump
// to standard error. SIGHUP reloads the settings file on a platform of kind "keyed_log" and has no
// effect on the other one. All of them are received until the process has exited.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"runtime/debug"

	"go.uber.org/zap"

	"sequoiafork/internal/daemon"
	"sequoiafork/internal/hostcapacity"
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

func main() {
	sig := receiveSignals()
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	os.Exit(run(sig))
}

func run(sig signals) int {
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
	if err := serve(cmd, sig); err != nil {
		fmt.Fprintln(os.Stderr, "sequoiaforkd:", err)
		return exitFailure
	}
	return 0
}

func serve(cmd settings.CommandLine, sig signals) error {
	s := cmd.Settings
	if os.Getenv("GOMEMLIMIT") == "" {
		// Buffers of responses may make the live heap many times larger than usual.
		debug.SetMemoryLimit(hostcapacity.DivideMemory(s.Daemon.MemoryMB).Heap)
	}
	logger, err := logging.New(logging.Config{
		Level:  s.Log.Level,
		Format: s.Log.Format,
	})
	if err != nil {
		return err
	}
	defer func() { _ = logger.Sync() }()
	if s.Platform.Kind == settings.PlatformKindKeyedLog {
		return serveKeyedLog(cmd, sig, logger)
	}
	d, err := daemon.New(daemon.Config{
		Settings: s,
		Logger:   logger,
	})
	if err != nil {
		return err
	}
	go handleSignals(d, logger, sig)
	go dumpOnSignal(d, logger, sig)
	return d.Run(context.Background())
}

// handleSignals starts a drain of d on a signal to stop. The settings of d are read once.
func handleSignals(d *daemon.Daemon, logger *zap.Logger, sig signals) {
	for {
		select {
		case stop := <-sig.stop:
			logger.Info("signal received", zap.String("signal", stop.String()))
			d.Drain()
		case <-sig.reload:
			logger.Warn("settings are not reloaded on this kind of platform")
		}
	}
}

// dumpOnSignal writes state dumps of d. A write may last for as long as nobody reads the standard error, so nothing
// waits for it.
func dumpOnSignal(d *daemon.Daemon, logger *zap.Logger, sig signals) {
	for range sig.dump {
		if err := d.WriteDump(os.Stderr); err != nil {
			logger.Error("state dump failed", zap.Error(err))
		}
	}
}
