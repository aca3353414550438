// Package virtualtime is the event queue of simulations: functions that run at times of a clock which
// only the queue's own events advance.
//
// A simulation adds events, takes the next one, sets its clock to the event's time and runs it, which may
// add more. Times are microseconds. A Queue is not safe for use by several goroutines at once. Nothing
// here fails.
package virtualtime
