// Package flowcontrol limits the sending of large documents. A receiver has one large document in flight at a time;
// a newer one is sent after that has arrived or timed out. Times are microseconds of the monotonic clock, and sizes
// are bytes.
package flowcontrol
