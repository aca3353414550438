package fleetconfig

import (
	"cmp"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Fault is one thing wrong with a document, with its path in it.
type Fault struct {
	Path string `json:"path"`
	Why  string `json:"why"`
}

func (f Fault) Error() string { return f.Path + ": " + f.Why }

// Faults is every fault of a document at once.
type Faults struct {
	List []Fault `json:"faults"`
	More int     `json:"more,omitempty"` // how many were left out of the list
}

func (f *Faults) Error() string {
	lines := make([]string, 0, len(f.List))
	for _, fault := range f.List {
		lines = append(lines, fault.Error())
	}
	if f.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", f.More))
	}
	return strings.Join(lines, "; ")
}

// Add enters a fault, or only counts it when the list is long enough already.
func (f *Faults) Add(path, why string, args ...any) {
	if len(f.List) >= maxFaults {
		f.More++
		return
	}
	// Documents may hold names of megabytes; a reply must not.
	f.List = append(f.List, Fault{clip(path, maxFaultText), clip(fmt.Sprintf(why, args...), maxFaultText)})
}

// CheckRange enters a fault unless the value is from low to high; what is no number is in no range.
func CheckRange[T cmp.Ordered](faults *Faults, path string, value, low, high T) {
	if !(value >= low && value <= high) {
		faults.Add(path, "%v is not from %v to %v", value, low, high)
	}
}

// clip shortens a text, never inside a sign.
func clip(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most] + "..."
}

// Err gives the faults as an error when there are any.
func (f *Faults) Err() error {
	if len(f.List) == 0 {
		return nil
	}
	return f
}

// rename puts every name in the paths into a form's own words.
func (f *Faults) rename(name func(field string) string) {
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

// TooLarge says that a document is above the stated bound.
type TooLarge struct {
	What  string
	Size  int
	Bound int
}

func (err TooLarge) Error() string {
	return fmt.Sprintf("%s: %d is above the bound of %d", err.What, err.Size, err.Bound)
}
