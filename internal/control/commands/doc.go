// Package commands defines the commands that the control plane issues to the process around it: to send a
// message, to write to disk, to compile a configuration, to probe an engine. The process executes a command and
// reports the result by calling the corresponding method of the node.
package commands
