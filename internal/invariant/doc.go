// Package invariant counts violations of invariants at run time. The code where an invariant could be
// violated checks it with [Monitor.Check]. The [Monitor] counts each violation and passes it to a callback.
//
// Methods of a [Monitor], which may be nil, may be called from any goroutine. No function of the package
// returns an error: a [ViolationError] is passed to the callback only, and the code that found the violation
// continues. docs/promises.md lists for each guarantee the code that could break it and the invariants that
// watch it.
package invariant
