package doccheck

import (
	"io/fs"
	"os"
	"path/filepath"
	"testing"
	"testing/fstest"

	qt "github.com/frankban/quicktest"
)

func TestGlossaryNamesAreDeclared(t *testing.T) {
	c := qt.New(t)
	undeclared, count, err := CheckGlossary(os.DirFS(filepath.Join("..", "..")), "docs/glossary.md")
	c.Assert(err, qt.IsNil)
	c.Assert(count > 100, qt.IsTrue, qt.Commentf("only %d names were found", count))
	for _, name := range undeclared {
		c.Check(false, qt.IsTrue, qt.Commentf("docs/glossary.md, %s", name))
	}
}

func TestUndeclaredNamesAreReported(t *testing.T) {
	const source = `package control

type Lease struct {
	until  int
	nested struct{ depth int }
	call   func(parameter int)
}

type owner interface{ Renew(parameter int) }

const Limit = 1

var first, second = 1, 2

func grant() { local := 1; _ = local }

func (Lease) Extend() {}
`
	for _, example := range []struct {
		name, row string
		want      []UndeclaredName
		wantCount int
	}{
		{"type, constant, variable", "| a | b | `Lease`, `Limit`, `second` |", nil, 3},
		{"function, method, method of an interface", "| a | b | `grant`, `Extend`, `Renew` |", nil, 3},
		{"fields", "| a | b | `until`, `depth`, `call` |", nil, 3},
		{"with a dot", "| a | b | `control.Lease`, `Lease.gone` |", []UndeclaredName{{2, "Lease.gone"}}, 2},
		{"missing", "| a | b | `Gone` |", []UndeclaredName{{2, "Gone"}}, 1},
		{"local variable and parameter", "| a | b | `local`, `parameter` |", []UndeclaredName{{2, "local"}, {2, "parameter"}}, 2},
		{"declared by a test alone", "| a | b | `inTest` |", []UndeclaredName{{2, "inTest"}}, 1},
		{"declared in a hidden folder", "| a | b | `Hidden` |", []UndeclaredName{{2, "Hidden"}}, 1},
		{"other columns", "| `Gone` | `gone` | |", nil, 0},
		{"no table", "`Gone` in a sentence | `Gone` |", nil, 0},
	} {
		t.Run(example.name, func(t *testing.T) {
			c := qt.New(t)
			root := fstest.MapFS{
				"control/lease.go":      {Data: []byte(source)},
				"control/lease_test.go": {Data: []byte("package control\n\nvar inTest = 1\n")},
				".git/old.go":           {Data: []byte("package old\n\nvar Hidden = 1\n")},
				"docs/glossary.md":      {Data: []byte("# Glossary\n" + example.row + "\n")},
			}
			undeclared, count, err := CheckGlossary(root, "docs/glossary.md")
			c.Assert(err, qt.IsNil)
			c.Assert(undeclared, qt.DeepEquals, example.want)
			c.Assert(count, qt.Equals, example.wantCount)
		})
	}
}

func TestUnreadableGlossaryIsAnError(t *testing.T) {
	c := qt.New(t)
	_, _, err := CheckGlossary(fstest.MapFS{}, "docs/glossary.md")
	c.Assert(err, qt.ErrorIs, fs.ErrNotExist)
	_, _, err = CheckGlossary(fstest.MapFS{
		"docs/glossary.md": {Data: []byte("# Glossary\n")},
		"broken.go":        {Data: []byte("package")},
	}, "docs/glossary.md")
	c.Assert(err, qt.ErrorMatches, "read the declarations: .*")
}
