package kernel

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestServicesAreFoundByNameAndType(t *testing.T) {
	c := qt.New(t)
	kernel := New()
	journal := NewJournal(4)
	c.Assert(kernel.Register("journal", journal), qt.IsNil)
	found, err := Find[*Journal](kernel, "journal")
	c.Assert(err, qt.IsNil)
	c.Assert(found, qt.Equals, journal)
	for _, test := range []struct {
		name string
		run  func() error
	}{
		{"name already registered", func() error { return kernel.Register("journal", journal) }},
		{"another type", func() error { _, err := Find[*Cleanup](kernel, "journal"); return err }},
		{"unknown name", func() error { _, err := Find[*Journal](kernel, "none"); return err }},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			c.Assert(errors.As(test.run(), new(ServiceError)), qt.IsTrue)
		})
	}
}
