// Package earlysignal keeps reload signals from ending a process before its handler is set. Its initialization runs
// before that of packages with dependencies outside the standard library, and so before main. A signal that arrives
// earlier than that, while the program is being loaded, ends the process: nothing in it can run yet.
package earlysignal

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
func Release() { signal.Reset(syscall.SIGHUP) }
