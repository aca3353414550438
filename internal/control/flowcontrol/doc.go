// Package flowcontrol paces large documents: a receiver has one under way at a time, and a newer one waits until that
// has arrived or is taken for lost. Spans are microseconds of the steady clock, sizes are bytes.
package flowcontrol
