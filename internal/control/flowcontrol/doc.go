// Package flowcontrol limits the sending of large documents. At most one large document is in flight to a receiver. A
// newer one is sent once the earlier one has arrived or timed out. Times are microseconds of the monotonic clock, and
// sizes are bytes.
package flowcontrol
