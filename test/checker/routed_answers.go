package checker

// Rules about the responses that callers of a routed fleet got.

import "net/http"

// runOf returns the run of the attempt with the given run id, or nil.
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

// checkAnswer checks the response that a caller got against the runs of the engines.
func (c *routedChecker) checkAnswer(attempt *routedAttempt, end *RoutedEvent) {
	sent := attempt.sent
	if end.Ending == Malformed && !attempt.hasAborted {
		c.violation(AnswerMixed, end.At, "%s got %s", sent.ID, end.Why)
	}
	if end.GotID != "" && end.GotID != sent.ID {
		c.violation(AnswerMixed, end.At, "%s got the response to %s", sent.ID, end.GotID)
		return
	}
	if end.Run == "" {
		if isSuccess(end.Status) {
			c.violation(AnswerMixed, end.At, "%s got a success that names no run", sent.ID)
		}
		return
	}
	if attempt.runOf(end.Run) == nil {
		c.violation(AnswerMixed, end.At, "%s got a response of run %s, which is not a run of this request", sent.ID, end.Run)
		return
	}
	c.checkStatus(attempt, end)
	if !end.IsOwn {
		c.violation(AnswerMixed, end.At, "%s got bytes that run %s did not send: %s", sent.ID, end.Run, end.Why)
		return
	}
	if isSuccess(end.Status) {
		c.checkSuccess(attempt, end)
	}
}

// checkStatus checks the status of a response against the one with which its run finished.
func (c *routedChecker) checkStatus(attempt *routedAttempt, end *RoutedEvent) {
	finished, isFinished := attempt.finished[end.Run]
	switch {
	case isSuccess(end.Status) && isFinished && finished.Status >= http.StatusBadRequest:
		c.violation(AnswerMixed, end.At, "%s got a success, but its run finished with status %d", attempt.sent.ID, finished.Status)
	case !isSuccess(end.Status) && finished.Status != end.Status:
		c.violation(AnswerMixed, end.At, "%s got status %d, but its run finished with status %d", attempt.sent.ID, end.Status, finished.Status)
	}
}

// checkSuccess checks the body of a successful response.
func (c *routedChecker) checkSuccess(attempt *routedAttempt, end *RoutedEvent) {
	if attempt.sent.IsStream {
		c.checkChunks(attempt, end)
	} else if _, isFinished := attempt.finished[end.Run]; end.Ending == Complete && !isFinished {
		c.violation(AnswerMixed, end.At, "the response to %s ended as complete, but run %s did not finish", attempt.sent.ID, end.Run)
	}
	if end.Ending == Complete {
		c.report.Served++
	}
}

// firstChunk returns the id of the chunk with which a stream has to begin.
func (a *routedAttempt) firstChunk(end *RoutedEvent) int {
	for _, run := range a.runs {
		// An engine that was asked to continue may restart the stream instead, and its response is passed
		// on unchanged. If it sent only the header, another engine continues where the caller asked.
		if run.HasRestarted && len(end.Chunks) > 0 && end.Chunks[0].Run == run.Run && run.Run == end.Run {
			return 1
		}
	}
	return a.sent.From + 1
}

// canContinue reports whether a chunk may come from another run than the chunk before it.
func (a *routedAttempt) canContinue(chunk Chunk) bool {
	isFollower := false
	for _, run := range a.runs {
		isFollower = isFollower || run.Run == chunk.Run && run.From == chunk.ID-1
	}
	return a.sent.IsResumable && isFollower
}

// checkChunks checks that the chunks of a stream are complete and in order, and that they come from one run
// or from runs that continue each other.
func (c *routedChecker) checkChunks(attempt *routedAttempt, end *RoutedEvent) {
	id, next, current := attempt.sent.ID, attempt.firstChunk(end), end.Run
	isLast := false
	for _, chunk := range end.Chunks {
		if chunk.ID != next || isLast {
			c.violation(StreamDisordered, end.At, "%s got chunk %d of run %s, expected chunk %d", id, chunk.ID, chunk.Run, next)
			return
		}
		if chunk.Run != current && !attempt.canContinue(chunk) {
			c.violation(StreamDisordered, end.At, "%s joins runs %s and %s at chunk %d", id, current, chunk.Run, chunk.ID)
			return
		}
		current = chunk.Run
		next++
		isLast = chunk.Last
	}
	if end.Ending == Complete && !isLast {
		c.violation(StreamDisordered, end.At, "the stream of %s ended as complete after chunk %d, which is not the last", id, next-1)
	}
}
