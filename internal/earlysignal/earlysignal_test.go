package earlysignal

import (
	"errors"
	"os"
	"os/exec"
	"syscall"
	"testing"

	qt "github.com/frankban/quicktest"
)

// envHangsUp makes the test binary send itself a reload signal instead of running the tests; its value says whether the
// signal is released before.
const envHangsUp = "DUNLINLOOM_TEST_HANGS_UP"

func TestMain(m *testing.M) {
	if how := os.Getenv(envHangsUp); how != "" {
		if how == "released" {
			Release()
		}
		_ = syscall.Kill(os.Getpid(), syscall.SIGHUP)
		<-Reloads()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// hangUp runs the test binary with the given value of envHangsUp, and returns how it ended.
func hangUp(c *qt.C, how string) syscall.WaitStatus {
	c.Helper()
	self, err := os.Executable()
	c.Assert(err, qt.IsNil)
	program := exec.CommandContext(c.Context(), self)
	program.Env = append(os.Environ(), envHangsUp+"="+how)
	if err := program.Run(); err != nil {
		c.Assert(errors.As(err, new(*exec.ExitError)), qt.IsTrue, qt.Commentf("%v", err))
	}
	status, isUnix := program.ProcessState.Sys().(syscall.WaitStatus)
	c.Assert(isUnix, qt.IsTrue)
	return status
}

func TestAReloadSignalIsKeptUntilItIsReleased(t *testing.T) {
	c := qt.New(t)
	c.Assert(hangUp(c, "kept").ExitStatus(), qt.Equals, 0)
	c.Assert(hangUp(c, "released").Signal(), qt.Equals, syscall.SIGHUP)
}
