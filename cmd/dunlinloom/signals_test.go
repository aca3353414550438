package main

import (
	"errors"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/platform"
	"dunlinloom/test/childprocess"
)

// envRunsMain makes the test binary run the program instead of the tests.
const envRunsMain = "DUNLINLOOM_TEST_RUNS_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(envRunsMain) != "" {
		main()
	}
	os.Exit(m.Run())
}

// endAfterSignal sends a signal to a program that reads its settings, then gives it settings that are none, and returns how
// it ended.
func endAfterSignal(c *qt.C, sent syscall.Signal) *os.ProcessState {
	c.Helper()
	settings := filepath.Join(c.TempDir(), "settings")
	c.Assert(syscall.Mkfifo(settings, 0o600), qt.IsNil)
	self, err := os.Executable()
	c.Assert(err, qt.IsNil)
	program := exec.CommandContext(c.Context(), self, "platform")
	program.Env = append(os.Environ(), envRunsMain+"=1", platform.SettingsVariable+"="+settings)
	c.Assert(program.Start(), qt.IsNil)
	// The pipe opens once the program reads its settings, which is the first thing that it does.
	pipe, err := os.OpenFile(settings, os.O_WRONLY, 0)
	c.Assert(err, qt.IsNil)
	c.Assert(program.Process.Signal(sent), qt.IsNil)
	_, err = pipe.WriteString("none")
	c.Check(err == nil || errors.Is(err, syscall.EPIPE), qt.IsTrue, qt.Commentf("%v", err))
	c.Check(pipe.Close(), qt.IsNil)
	if err := program.Wait(); err != nil {
		c.Assert(errors.As(err, new(*exec.ExitError)), qt.IsTrue, qt.Commentf("%v", err))
	}
	return program.ProcessState
}

// Guards against a process that a reload ends as long as it has not read its settings.
func TestAReloadSignalInTheFirstMomentsEndsNoProcess(t *testing.T) {
	c := qt.New(t)
	c.Assert(endAfterSignal(c, syscall.SIGHUP).ExitCode(), qt.Equals, exitUsage)
}

func TestAStopSignalInTheFirstMomentsStops(t *testing.T) {
	c := qt.New(t)
	status, isUnix := endAfterSignal(c, syscall.SIGTERM).Sys().(syscall.WaitStatus)
	c.Assert(isUnix, qt.IsTrue)
	c.Assert(status.Signal(), qt.Equals, syscall.SIGTERM)
}

// earlyReloads is how many processes get a reload signal as soon as they ignore or handle it.
const earlyReloads = 100

// Guards against a reload signal that arrives between the start of the runtime and the initialization of the package that
// handles it.
func TestAReloadSignalEndsNoProcessFromItsFirstCodeOn(t *testing.T) {
	c := qt.New(t)
	settings := filepath.Join(c.TempDir(), "none")
	self, err := os.Executable()
	c.Assert(err, qt.IsNil)
	for range earlyReloads {
		ended := make(chan error, 1)
		program := &childprocess.Process{
			Name: "program", Path: self, Arguments: []string{"platform"}, LogPath: filepath.Join(c.TempDir(), "log"),
			Env: []string{envRunsMain + "=1", platform.SettingsVariable + "=" + settings}, OnEnd: func(err error) { ended <- err },
		}
		c.Assert(program.Start(), qt.IsNil)
		for program.IsRunning() && !program.HandlesSignal(syscall.SIGHUP) {
			runtime.Gosched()
		}
		c.Assert(program.Signal(syscall.SIGHUP), qt.IsNil)
		var exit *exec.ExitError
		c.Assert(errors.As(<-ended, &exit), qt.IsTrue)
		c.Assert(exit.ExitCode(), qt.Equals, exitUsage)
	}
}
