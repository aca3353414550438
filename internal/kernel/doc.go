// Package kernel has what every program of the fleet builds on: clocks, the environment of a piece of
// work, the journal of decisions, the folder that stores write to, clean-up steps, and the registry by
// which services find each other.
//
// # Concurrency
//
// [Journal], [JournalFile], [Cleanup] and [Kernel] may be used from any goroutine; where a method has an
// owner or has to come first, its comment says so. A [Clock] and an [Env] are values that are never
// changed. A [Folder] does not lock: each file has one writer at a time, and [LockFolder] keeps other
// processes away.
//
// # Units
//
// Times and durations are [Micros]. A time of a [Clock] means something on its own machine only; where
// one is of the wall clock, its name says so. Sizes are in bytes.
//
// # Errors
//
// A step on a disk that failed is a [DiskError], which unwraps to the system's error; a file that does
// not exist is a [MissingFileError], a locked folder a [FolderInUseError], a wrong name or type of a
// service a [ServiceError].
package kernel
