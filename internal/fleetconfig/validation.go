package fleetconfig

import (
	"cmp"
	"fmt"
	"strings"
	"unicode/utf8"
)

// ValidationError is one thing wrong with a document, with its path in it.
type ValidationError struct {
	Path   string `json:"path"`
	Reason string `json:"why"`
}

func (e ValidationError) Error() string { return e.Path + ": " + e.Reason }

// InvalidConfigError lists everything wrong with a document, up to a bound. It is filled by one
// goroutine and not changed once it was returned as an error.
type InvalidConfigError struct {
	List    []ValidationError `json:"faults"`
	Omitted int               `json:"more,omitempty"` // how many were left out of the list
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

// Add appends an error, or only counts it when the list is full. The reason is a format of fmt with args.
func (e *InvalidConfigError) Add(path, reason string, args ...any) {
	if len(e.List) >= maxErrors {
		e.Omitted++
		return
	}
	// Documents may hold names of megabytes; a reply must not.
	e.List = append(e.List, ValidationError{truncate(path, maxErrorText), truncate(fmt.Sprintf(reason, args...), maxErrorText)})
}

// CheckRange appends an error unless the value is from low to high. NaN is in no range.
func CheckRange[T cmp.Ordered](problems *InvalidConfigError, path string, value, low, high T) {
	// Not the opposite comparisons: they would accept NaN.
	if value >= low && value <= high {
		return
	}
	problems.Add(path, "%v is not from %v to %v", value, low, high)
}

// truncate shortens a text to limit bytes at most, never within a character.
func truncate(text string, limit int) string {
	if len(text) <= limit {
		return text
	}
	for limit > 0 && !utf8.RuneStart(text[limit]) {
		limit--
	}
	return text[:limit] + "..."
}

// Err gives the list as an error; nil: it is empty.
func (e *InvalidConfigError) Err() error {
	if len(e.List) == 0 {
		return nil
	}
	return e
}

// rename replaces every field in the paths by its name in a form.
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

// TooLargeError says that a document is above a bound: What names the unit of Size and Limit.
type TooLargeError struct {
	What  string
	Size  int
	Limit int
}

func (err TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d is above the bound of %d", err.What, err.Size, err.Limit)
}
