package server

import (
	"time"

	"dunlinloom/internal/kernel"
)

// startWorker runs a function in a new goroutine. The returned channel is closed once the function has returned.
func startWorker(run func()) <-chan struct{} {
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		run()
	}()
	return ended
}

// waitUntil polls until a condition holds or the timeout, in microseconds, expires.
func waitUntil(timeout int64, isMet func() bool) {
	timer := time.NewTimer(kernel.Micros(timeout).Duration())
	defer timer.Stop()
	ticker := time.NewTicker(20 * time.Millisecond)
	defer ticker.Stop()
	for !isMet() {
		select {
		case <-timer.C:
			return
		case <-ticker.C:
		}
	}
}

// finalWriteTimeout is how long a shutdown waits for a write in progress to a data folder.
const finalWriteTimeout = 2 * time.Second

// waitClosed waits until a channel is closed or the timeout expires, and reports whether it was closed.
func waitClosed(ended <-chan struct{}, timeout time.Duration) bool {
	select {
	case <-ended:
		return true
	case <-time.After(timeout):
		return false
	}
}
