package checker

// Rules about the answers that callers of a routed fleet got.

import "net/http"

// runOf finds a run of the attempt by the engine's id of it; nil: there is none.
func (a *routedAttempt) runOf(id string) *RoutedEvent {
	var found *RoutedEvent
	for i := range a.runs {
		if a.runs[i].Run == id {
			found = &a.runs[i]
		}
	}
	return found
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// checkAnswer checks what a caller got against what the engines made.
func (c *routedChecker) checkAnswer(attempt *routedAttempt, end *RoutedEvent) {
	sent := attempt.sent
	if end.Ending == Malformed && !attempt.hasAborted {
		c.violation(AnswerMixed, end.At, "%s got %s", sent.ID, end.Why)
	}
	if end.GotID != "" && end.GotID != sent.ID {
		c.violation(AnswerMixed, end.At, "%s got the answer to %s", sent.ID, end.GotID)
		return
	}
	if end.Run == "" {
		if isSuccess(end.Status) {
			c.violation(AnswerMixed, end.At, "%s got a success without a stamp", sent.ID)
		}
		return
	}
	if attempt.runOf(end.Run) == nil {
		c.violation(AnswerMixed, end.At, "%s got the stamp %s, which is of no run of it", sent.ID, end.Run)
		return
	}
	c.checkStatus(attempt, end)
	if !end.IsOwn {
		c.violation(AnswerMixed, end.At, "%s got bytes that run %s did not make: %s", sent.ID, end.Run, end.Why)
		return
	}
	if isSuccess(end.Status) {
		c.checkSuccess(attempt, end)
	}
}

// checkStatus checks the status of an answer against that of the engine whose run it names.
func (c *routedChecker) checkStatus(attempt *routedAttempt, end *RoutedEvent) {
	finished, isFinished := attempt.finished[end.Run]
	switch {
	case isSuccess(end.Status) && isFinished && finished.Status >= http.StatusBadRequest:
		c.violation(AnswerMixed, end.At, "%s got a success, its engine said %d", attempt.sent.ID, finished.Status)
	case !isSuccess(end.Status) && finished.Status != end.Status:
		c.violation(AnswerMixed, end.At, "%s got %d with the stamp of an engine that said %d", attempt.sent.ID, end.Status, finished.Status)
	}
}

// checkSuccess checks the body of a success.
func (c *routedChecker) checkSuccess(attempt *routedAttempt, end *RoutedEvent) {
	if attempt.sent.IsStream {
		c.checkChunks(attempt, end)
	} else if _, isFinished := attempt.finished[end.Run]; end.Ending == Complete && !isFinished {
		c.violation(AnswerMixed, end.At, "%s ended as whole, run %s did not", attempt.sent.ID, end.Run)
	}
	if end.Ending == Complete {
		c.report.Served++
	}
}

// firstChunk is the id of the chunk that a stream has to begin with.
func (a *routedAttempt) firstChunk(end *RoutedEvent) int {
	for _, run := range a.runs {
		// An engine that starts again does so by itself, and its answer is passed on as it is. An answer of
		// which it made the header alone continues elsewhere from where it was asked to.
		if run.HasRestarted && len(end.Chunks) > 0 && end.Chunks[0].Run == run.Run && run.Run == end.Run {
			return 1
		}
	}
	return a.sent.From + 1
}

// canContinue reports whether a chunk may come from another run than the one before it.
func (a *routedAttempt) canContinue(chunk Chunk) bool {
	isFollower := false
	for _, run := range a.runs {
		isFollower = isFollower || run.Run == chunk.Run && run.From == chunk.ID-1
	}
	return a.sent.IsResumable && isFollower
}

// checkChunks checks that a stream's chunks are in order, of one run or of runs that continue each other.
func (c *routedChecker) checkChunks(attempt *routedAttempt, end *RoutedEvent) {
	id, next, current := attempt.sent.ID, attempt.firstChunk(end), end.Run
	isLast := false
	for _, chunk := range end.Chunks {
		if chunk.ID != next || isLast {
			c.violation(StreamDisordered, end.At, "%s got piece %d of %s where %d was due", id, chunk.ID, chunk.Run, next)
			return
		}
		if chunk.Run != current && !attempt.canContinue(chunk) {
			c.violation(StreamDisordered, end.At, "%s joins %s and %s at %d", id, current, chunk.Run, chunk.ID)
			return
		}
		current = chunk.Run
		next++
		isLast = chunk.Last
	}
	if end.Ending == Complete && !isLast {
		c.violation(StreamDisordered, end.At, "%s ended as whole after piece %d", id, next-1)
	}
}
