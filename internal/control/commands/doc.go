// Package commands holds what the control plane's owners ask of the process around them: to send a message,
// to write, to compile, to probe. The process carries a command out and brings the outcome back as an event.
package commands
