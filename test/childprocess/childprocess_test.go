package childprocess

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestAProcessRunsOverSeveralStarts(t *testing.T) {
	c := qt.New(t)
	ends := make(chan error, 2)
	process := &Process{
		Name: "sleeper", Path: "/bin/sh", Arguments: []string{"-c", `exec sleep "$1"`, "sh"},
		LogPath: filepath.Join(t.TempDir(), "log"), OnEnd: func(err error) { ends <- err },
	}
	<-process.Ended()
	c.Assert(process.IsRunning(), qt.IsFalse)
	c.Assert(process.MemoryBytes(), qt.Equals, int64(0))
	c.Assert(process.Signal(syscall.SIGCONT), qt.IsNil)

	c.Assert(process.Start("0"), qt.IsNil)
	<-process.Ended()
	c.Assert(<-ends, qt.IsNil)

	c.Assert(process.Start("3600"), qt.IsNil)
	c.Assert(process.Start("0"), qt.IsNil, qt.Commentf("it runs already"))
	c.Assert(process.IsRunning(), qt.IsTrue)
	c.Assert(process.MemoryBytes() > 0, qt.IsTrue)
	c.Assert(process.Halt(), qt.IsNil)
	c.Assert(<-ends, qt.ErrorAs, new(*exec.ExitError))
	c.Assert(process.IsRunning(), qt.IsFalse)
	c.Assert(process.Starts(), qt.Equals, 2)

	log, err := os.ReadFile(process.LogPath)
	c.Assert(err, qt.IsNil)
	c.Assert(string(log), qt.Equals, "ended: signal: killed\n")
}

func TestAFailedStartNamesItsStep(t *testing.T) {
	folder := t.TempDir()
	for _, example := range []struct {
		name    string
		process *Process
		step    string
	}{
		{"no log", &Process{Name: "p", Path: "/bin/sh", LogPath: filepath.Join(folder, "none", "log")}, "open the log of"},
		{"no program", &Process{Name: "p", Path: filepath.Join(folder, "none"), LogPath: filepath.Join(folder, "log")}, "start"},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			var failed StartError
			c.Assert(errors.As(example.process.Start(), &failed), qt.IsTrue)
			c.Assert(failed.Name, qt.Equals, "p")
			c.Assert(failed.Step, qt.Equals, example.step)
			c.Assert(failed, qt.ErrorIs, os.ErrNotExist)
			c.Assert(example.process.IsRunning(), qt.IsFalse)
			c.Assert(example.process.Starts(), qt.Equals, 0)
		})
	}
}

func TestHandlersOfSignalsAreSeen(t *testing.T) {
	c := qt.New(t)
	process := &Process{Name: "shell", Path: "/bin/sh", Arguments: []string{"-c", "trap : HUP; while :; do sleep 0.01; done"}, LogPath: filepath.Join(t.TempDir(), "log")}
	c.Assert(process.HandlesSignal(syscall.SIGHUP), qt.IsFalse)
	c.Assert(process.Start(), qt.IsNil)
	for !process.HandlesSignal(syscall.SIGHUP) {
		c.Assert(process.IsRunning(), qt.IsTrue)
	}
	c.Assert(process.HandlesSignal(syscall.SIGUSR2), qt.IsFalse)
	c.Assert(process.Halt(), qt.IsNil)
	c.Assert(process.HandlesSignal(syscall.SIGHUP), qt.IsFalse)
}
