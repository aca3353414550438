package checker

// InvariantMetric counts the violations that a node finds itself, with the invariant as its label.
const InvariantMetric = "dunlinloom_invariant_violations_total"

// FleetRules are the rules that Check judges, but for HistoryUndecided, which is no rule of the fleet.
func FleetRules() []Rule {
	return []Rule{
		RunTwice, RunAfterRejection, BodyMismatch, FalseCompletion, DrainingEngineUsed, DrainedZoneUsed, StaleConfigUsed, ConfigRegressed,
		RetryBudgetExceeded, SlowStartOverloaded, ShutdownDroppedRequest, AcknowledgedLost, RejectedTookEffect, RecoveryTooSlow,
		HistoryNotLinearizable, RepeatRefused,
	}
}

// RoutedRules are the rules that CheckRouted judges of every fleet.
func RoutedRules() []Rule {
	return []Rule{
		RunTwice, RunAfterRejection, DrainingEngineUsed, RetryBudgetExceeded, ShutdownDroppedRequest, AnswerMixed, UnsolicitedRun, Misrouted,
		StreamDisordered, ValidRequestsRejected, InvariantFailed, KeepAliveDropped, SplitDeviated, AbandonedRequestsDelivered, AttemptsExceeded,
	}
}

// TenantRules are those that CheckRouted judges of fleets with tenants.
func TenantRules() []Rule {
	return []Rule{KeyShown, TenantMismatch, UnknownKeyRan, WithdrawnKeyRan, QuotaExceeded, RejectedWithinQuota, TenantStarved}
}

// OperationRules are the rules that CheckOperations judges.
func OperationRules() []Rule {
	return []Rule{
		StaleRead, ReadMismatch, ConflictingAcknowledgements, AcknowledgedRepeatRejected, InvalidAccepted, RejectedInForce, FinalReadMissing, FinalReadStale,
	}
}
