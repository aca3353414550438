package fleetconfig

import (
	"cmp"
	"fmt"
	"strings"
	"unicode/utf8"
)

// ValidationError is one error in a document: where it is, and the reason.
type ValidationError struct {
	Path   string `json:"path"`
	Reason string `json:"why"`
}

func (e ValidationError) Error() string { return e.Path + ": " + e.Reason }

// InvalidConfigError lists all errors in a document, up to a bound. It is filled by one goroutine and not
// changed after it was returned as an error.
type InvalidConfigError struct {
	List    []ValidationError `json:"faults"`
	Omitted int               `json:"more,omitempty"` // how many errors the list leaves out
}

func (e *InvalidConfigError) Error() string {
	lines := make([]string, 0, len(e.List))
	for _, problem := range e.List {
		lines = append(lines, problem.Error())
	}
	if e.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.Omitted))
	}
	return strings.Join(lines, "; ")
}

// Add appends an error, or only counts it if the list is full. The reason is a format string of package
// fmt, applied to args.
func (e *InvalidConfigError) Add(path, reason string, args ...any) {
	if len(e.List) >= maxErrors {
		e.Omitted++
		return
	}
	// A document may contain names of megabytes, which must not be repeated in a response.
	e.List = append(e.List, ValidationError{truncate(path, maxErrorText), truncate(fmt.Sprintf(reason, args...), maxErrorText)})
}

// CheckRange adds an error unless the value is from low to high. NaN is in no range.
func CheckRange[T cmp.Ordered](problems *InvalidConfigError, path string, value, low, high T) {
	// Every comparison with NaN is false, so testing for values outside the range would accept NaN.
	if value >= low && value <= high {
		return
	}
	problems.Add(path, "%v is not in the range from %v to %v", value, low, high)
}

// truncate shortens a text to at most limit bytes, without splitting a character, and marks the cut with
// an ellipsis.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit] + "..."
}

// Err returns the list as an error, or nil if it is empty.
func (e *InvalidConfigError) Err() error {
	if len(e.List) == 0 {
		return nil
	}
	return e
}

// rename replaces the name of every field in the paths by its name in another format.
func (e *InvalidConfigError) rename(name func(field string) string) {
	for i := range e.List {
		steps := strings.Split(e.List[i].Path, ".")
		for j, step := range steps {
			field, index, isElement := strings.Cut(step, "[")
			steps[j] = name(field)
			if isElement {
				steps[j] += "[" + index
			}
		}
		e.List[i].Path = strings.Join(steps, ".")
	}
}

// TooLargeError means that a document exceeds a bound. Quantity states what Size and Limit count, for example
// "routes" or "bytes of the configuration".
type TooLargeError struct {
	Quantity string
	Size     int
	Limit    int
}

func (err TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d exceeds the limit of %d", err.Quantity, err.Size, err.Limit)
}
