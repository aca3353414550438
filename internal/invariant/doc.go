// Package invariant counts violations of what must hold at all times. The code that a violation would
// pass through checks it there; a [Monitor] counts, and passes each violation to a callback.
//
// Methods of a [Monitor] may be called from any goroutine, also those of a nil one. The package returns no
// errors: a [ViolationError] goes to the callback alone, and the code that found it continues.
// docs/promises.md has each invariant with what proves it.
package invariant
