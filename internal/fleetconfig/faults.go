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

func (f ValidationError) Error() string { return f.Path + ": " + f.Reason }

// ValidationErrors is every fault of a document at once.
type ValidationErrors struct {
	List    []ValidationError `json:"faults"`
	Omitted int               `json:"more,omitempty"` // how many were left out of the list
}

func (f *ValidationErrors) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, fault := range f.List {
		lines = append(lines, fault.Error())
	}
	if f.Omitted > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", f.Omitted))
	}
	return strings.Join(lines, "; ")
}

// Add enters a fault, or only counts it when the list is long enough already.
func (f *ValidationErrors) Add(path, why string, args ...any) {
	if len(f.List) >= maxFaults {
		f.Omitted++
		return
	}
	// Documents may hold names of megabytes; a reply must not.
	f.List = append(f.List, ValidationError{truncate(path, maxFaultText), truncate(fmt.Sprintf(why, args...), maxFaultText)})
}

// CheckRange enters a fault unless the value is from low to high; what is no number is in no range.
func CheckRange[T cmp.Ordered](faults *ValidationErrors, path string, value, low, high T) {
	if !(value >= low && value <= high) {
		faults.Add(path, "%v is not from %v to %v", value, low, high)
	}
}

// truncate shortens a text, never inside a sign.
func truncate(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most] + "..."
}

// Err gives the faults as an error when there are any.
func (f *ValidationErrors) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return f
}

// rename puts every name in the paths into a form's own words.
func (f *ValidationErrors) rename(name func(field string) string) {
	for i := range f.List {
		steps := strings.Split(f.List[i].Path, ".")
		for j, step := range steps {
			field, index, isElement := strings.Cut(step, "[")
			steps[j] = name(field)
			if isElement {
				steps[j] += "[" + index
			}
		}
		f.List[i].Path = strings.Join(steps, ".")
	}
}

// TooLargeError says that a document is above the stated bound.
type TooLargeError struct {
	What  string
	Size  int
	Limit int
}

func (err TooLargeError) Error() string {
	return fmt.Sprintf("%s: %d is above the bound of %d", err.What, err.Size, err.Limit)
}
