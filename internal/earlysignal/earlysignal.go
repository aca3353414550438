// Package earlysignal keeps reload signals from ending a process before its handler is set. They are ignored from the
// first code of the program on, which runs before the Go runtime starts, and kept once this package is initialized.
// Earlier, while the program is being loaded, a signal still ends the process.
package earlysignal

// #include <signal.h>
// // Runs before the Go runtime starts, which leaves an ignored reload signal as it is.
// __attribute__((constructor)) static void ignoreReloads(void) { signal(SIGHUP, SIG_IGN); }
// static void endOnReload(void) { signal(SIGHUP, SIG_DFL); }
import "C"

import (
	"os"
	"os/signal"
	"syscall"
)

// reloads has the reload signal that arrived last, until somebody receives it. One is enough, since a reload reads the
// newest settings.
var reloads = make(chan os.Signal, 1)

func init() { signal.Notify(reloads, syscall.SIGHUP) }

// Reloads returns the channel of reload signals, including one that arrived before the call.
func Reloads() <-chan os.Signal { return reloads }

// Release gives the reload signal its default effect again, for programs that do not reload.
func Release() {
	signal.Stop(reloads)
	C.endOnReload()
}
