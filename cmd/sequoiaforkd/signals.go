package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"go.uber.org/zap"
)

// signals receives the signals of the process. Nothing releases it: the default action of each of these signals ends
// the process, and any of them may arrive at any time, also while the process drains and when it is about to exit.
type signals struct {
	// stop receives SIGTERM and SIGINT, reload SIGHUP, and dump SIGUSR1.
	stop, reload, dump chan os.Signal
}

// receiveSignals returns the signals of the process from now on. It is the first call of main; see startsignals.go
// for what comes before.
func receiveSignals() signals {
	s := signals{
		stop:   make(chan os.Signal, 1),
		reload: make(chan os.Signal, 1),
		dump:   make(chan os.Signal, 1),
	}
	signal.Notify(s.stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.reload, syscall.SIGHUP)
	signal.Notify(s.dump, syscall.SIGUSR1)
	signal.Ignore(syscall.SIGPIPE) // Otherwise, a write to a log that nobody reads any more ends the process.
	return s
}

// stopContext returns a context that is done from the first signal to stop on. Further ones have no effect.
func (s signals) stopContext(logger *zap.Logger) context.Context {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		sig := <-s.stop
		logger.Info("signal received", zap.String("signal", sig.String()))
		cancel()
	}()
	return ctx
}
