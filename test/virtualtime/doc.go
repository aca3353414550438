// Package virtualtime provides the event queue of discrete-event simulations.
//
// A simulation adds events, removes the next one, advances its virtual clock to the time of that event and runs
// it, which may add further events. Times are in microseconds. A Queue is not safe for concurrent use. No
// operation returns an error.
package virtualtime
