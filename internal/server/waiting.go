package server

import (
	"time"

	"dunlinloom/internal/kernel"
)

// startWorker runs a function in a goroutine of its own; the channel is closed once it has returned.
func startWorker(run func()) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run()
	}()
	return ended
}

// waitUntil polls until a condition holds or the time-out, in microseconds, is over.
func waitUntil(timeout int64, isMet func() bool) {
	end := time.NewTimer(kernel.Micros(timeout).Duration())
	defer end.Stop()
	again := time.NewTicker(20 * time.Millisecond)
	defer again.Stop()
	for !isMet() {
		select {
		case <-end.C:
			return
		case <-again.C:
		}
	}
}

// finalWriteTimeout is how long a stop waits for what is being written to a folder.
const finalWriteTimeout = 2 * time.Second

// waitClosed tells whether a channel was closed within the time-out.
func waitClosed(ended <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
