package modelcheck

import (
	"errors"
	"time"

	"dunlinloom/internal/control/cluster"
	"dunlinloom/test/checker"
)

// operation is a finished put, identified by its index, or a finished read.
type operation struct {
	Index   int // the index of the put; -1 for a read
	Call    int
	Return  int
	Config  string
	Version uint64
}

// linearizabilityTimeout is much longer than the check of one run's history takes.
const linearizabilityTimeout = 30 * time.Second

// History returns all puts and the finished reads of a run. Puts without a response have an unknown outcome.
func (w *World) History() []checker.RegisterOperation {
	history := []checker.RegisterOperation{}
	for index, submission := range w.operators.Puts {
		history = append(history, checker.RegisterOperation{
			Client: index, Call: int64(submission.Began), Version: submission.Base, Sets: submission.Base + 1, Value: string(configOf(index)),
		})
	}
	for _, done := range w.observer.history {
		if done.Index < 0 {
			history = append(history, checker.RegisterOperation{
				Client: len(history), Call: int64(done.Call), Return: int64(done.Return), IsRead: true, Version: done.Version, Value: done.Config,
			})
			continue
		}
		history[done.Index].Return = int64(done.Return)
		history[done.Index].Outcome = outcomeOf(w.operators.Puts[done.Index].Outcome)
	}
	return history
}

func outcomeOf(outcome cluster.Outcome) checker.PutOutcome {
	switch outcome {
	case cluster.Accepted:
		return checker.PutDone
	case cluster.Rejected:
		return checker.PutRejected
	}
	return checker.PutUnknown
}

// checkHistory checks that the operators' history of a run is linearizable. The error is a ViolationError, or
// the checker's error if it could not decide.
func (w *World) checkHistory() error {
	err := w.checkLinearizable(w.History(), linearizabilityTimeout)
	if errors.As(err, new(checker.NotLinearizableError)) {
		return violated(HistoryIsLinearizable, "%v", err)
	}
	return err
}
