package main

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestCommandLineNamesItsCommands(t *testing.T) {
	c := qt.New(t)
	for _, arguments := range [][]string{nil, {"nothing"}} {
		var out, errors bytes.Buffer
		c.Check(run(arguments, &out, &errors), qt.Equals, exitUsage)
		c.Check(out.Len(), qt.Equals, 0)
		c.Check(errors.String(), qt.Contains, "usage: dunlinloom COMMAND")
	}
	var out, errors bytes.Buffer
	c.Assert(run([]string{"--help"}, &out, &errors), qt.Equals, exitOK)
	c.Assert(errors.Len(), qt.Equals, 0)
	for name := range commands() {
		c.Check(out.String(), qt.Contains, "\n  "+name+" ")
	}
}
