//go:build cgo

package main

// Until the Go runtime and the packages have been initialized, SIGHUP and SIGUSR1 would end the process. They are
// ignored from when the C library is loaded until receiveSignals; none is lost, since the settings are read later.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_start_signals(void) {
	signal(SIGHUP, SIG_IGN);
	signal(SIGUSR1, SIG_IGN);
}
*/
import "C"
