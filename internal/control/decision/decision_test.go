package decision

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"dunlinloom/internal/kernel"
)

func TestFormerNamesAreReadAsCurrent(t *testing.T) {
	for _, test := range []struct{ subject, decision, newSubject, newDecision string }{
		{"core", "lead", "core", "become leader"},
		{"core", "name successor", "core", "transfer leadership"},
		{"home", "name successor", "coordinator", "hand over"},
		{"licence", "core dark", "lease", "no quorum"},
		{"licence", "core back", "lease", "quorum back"},
		{"cell", "mend", "anti-entropy", "repair"},
		{"disk", "ail", "disk", "unhealthy"},
		{"disk", "mend", "disk", "healthy"},
		{"history", "mend", "history", "fetch"},
		{"spec", "apply", "configuration", "apply"},
		{"submission s1", "yes", "submission s1", "accept"},
		{"submission s1", "fence", "submission s1", "abort"},
		{"submission s1", "acknowledgement unproved", "submission s1", "answer unproved"},
		{"engine e1", "reach", "engine e1", "responsiveness"},
		{"node 10.0.0.1:7300", "decline message", "node 10.0.0.1:7300", "reject message"},
		// Names that were not changed, and former names of decisions under a subject that never had them.
		{"core", "step down", "core", "step down"},
		{"disk", "fence", "disk", "fence"},
		{"engine e1", "mended", "engine e1", "mended"},
		{"engine e1", "yes", "engine e1", "yes"},
		{"request r1", "decline", "request r1", "decline"},
	} {
		t.Run(test.subject+", "+test.decision, func(t *testing.T) {
			c := qt.New(t)
			entry := kernel.Entry{Seq: 7, Subject: test.subject, Decision: test.decision, Reason: "why"}
			current := Current(entry)
			c.Assert(current, qt.Equals, kernel.Entry{Seq: 7, Subject: test.newSubject, Decision: test.newDecision, Reason: "why"})
			c.Assert(Current(current), qt.Equals, current, qt.Commentf("a current name is not translated"))
		})
	}
}

// No current name may be translated into another one.
func TestNoCurrentNameIsAFormerOne(t *testing.T) {
	c := qt.New(t)
	for _, former := range formerNames {
		subject, decided := former.subject, former.decision
		if former.newSubject != "" {
			subject = string(former.newSubject)
		}
		if former.newDecision != "" {
			decided = string(former.newDecision)
		}
		entry := kernel.Entry{Subject: subject, Decision: decided}
		c.Check(Current(entry), qt.Equals, entry)
	}
}
