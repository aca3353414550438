package checker

// InvariantMetric is the counter of the violations that a node detects itself, labeled by invariant.
const InvariantMetric = "dunlinloom_invariant_violations_total"

// FleetRules returns the rules that Check evaluates. HistoryUndecided is not among them, since it is a result of
// the check rather than a rule of the fleet.
func FleetRules() []Rule {
	return []Rule{
		RunTwice, RunAfterRejection, BodyMismatch, FalseCompletion, DrainingEngineUsed, DrainedZoneUsed, StaleConfigUsed, ConfigRegressed,
		RetryBudgetExceeded, SlowStartOverloaded, ShutdownDroppedRequest, AcknowledgedLost, RejectedTookEffect, RecoveryTooSlow,
		HistoryNotLinearizable, RepeatRefused,
	}
}

// RoutedRules returns the rules that CheckRouted evaluates for every fleet.
func RoutedRules() []Rule {
	return []Rule{
		RunTwice, RunAfterRejection, DrainingEngineUsed, RetryBudgetExceeded, ShutdownDroppedRequest, AnswerMixed, UnsolicitedRun, Misrouted,
		StreamDisordered, ValidRequestsRejected, InvariantFailed, KeepAliveDropped, SplitDeviated, AbandonedRequestsDelivered, AnsweredRequestDelivered,
		AttemptsExceeded,
	}
}

// TenantRules returns the rules that CheckRouted evaluates for fleets with tenants.
func TenantRules() []Rule {
	return []Rule{KeyShown, TenantMismatch, UnknownKeyRan, WithdrawnKeyRan, QuotaExceeded, RejectedWithinQuota, TenantStarved}
}

// OperationRules returns the rules that CheckOperations evaluates.
func OperationRules() []Rule {
	return []Rule{
		StaleRead, ReadMismatch, ConflictingAcknowledgements, AcknowledgedRepeatRejected, InvalidAccepted, RejectedInForce, FinalReadMissing, FinalReadStale,
	}
}
