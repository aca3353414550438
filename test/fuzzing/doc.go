// Package fuzzing holds what the fuzz tests of parsers have in common: seeds with their
// damaged forms, which run in every ordinary test run, and the rule on how a parser
// may fail.
//
// Seed and SeedPairs are called before f.Fuzz, and FailsAs within it; they are called by the
// goroutine of their test. Damage and Is may be called by any goroutine.
package fuzzing
