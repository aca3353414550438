// Package kernel has the basic services that all programs of the fleet use: clocks, the environment that
// is passed to functions, the journal of decisions, the data folder that stores write to, clean-up steps,
// and the registry in which components look up each other.
//
// # Concurrency
//
// [Journal], [JournalFile], [Cleanup] and [Kernel] may be used from any goroutine, except for methods whose
// comments restrict who may call them or when. A [Clock] and an [Env] are values that are never changed. A
// [Folder] has no lock of its own: each file must have one writer at a time, and [LockFolder] excludes other
// processes.
//
// # Units
//
// Times and durations are [Micros]. A time of a [Clock] is meaningful only on its own machine. Wall-clock
// times are named as such. Sizes are in bytes.
//
// # Errors
//
// A disk operation that fails returns a [DiskError], which unwraps to the system's error. A file that does
// not exist is reported as a [MissingFileError], a locked folder as a [FolderInUseError], and a wrong name
// or type of a service as a [ServiceError].
package kernel
