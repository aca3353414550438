// Package fuzzing contains the shared parts of the parsers' fuzz tests. It adds seeds with damaged
// variants, which also run in every ordinary test run, and checks the types of a parser's errors.
//
// Call Seed and SeedPairs before f.Fuzz, and RequireErrorType in the fuzz target, all from the goroutine of the
// test. Damage and Is are safe for concurrent use.
package fuzzing
