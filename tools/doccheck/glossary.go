package doccheck

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path"
	"strings"
)

// UndeclaredName is a Go name in the last column of the glossary that no file of the repository declares.
type UndeclaredName struct {
	Line int // line number on the page, from 1
	Name string
}

func (n UndeclaredName) String() string {
	return fmt.Sprintf("line %d: no Go declaration of %s", n.Line, n.Name)
}

// CheckGlossary looks up the Go names in the last column of a page's tables among the declarations of the repository,
// and returns those that are not declared and the number of names. Each code span is a name. Of a qualified name only
// the part after the last dot is looked up.
func CheckGlossary(root fs.FS, page string) (undeclared []UndeclaredName, count int, err error) {
	content, err := fs.ReadFile(root, page)
	if err != nil {
		return nil, 0, fmt.Errorf("read the glossary: %w", err)
	}
	declared, err := declaredNames(root)
	if err != nil {
		return nil, 0, err
	}
	for i, line := range strings.Split(string(content), "\n") {
		for _, name := range glossaryNames(line) {
			count++
			if !declared[name[strings.LastIndex(name, ".")+1:]] {
				undeclared = append(undeclared, UndeclaredName{i + 1, name})
			}
		}
	}
	return undeclared, count, nil
}

// glossaryNames returns the code spans in the last cell of a table row. Other lines have none.
func glossaryNames(line string) []string {
	line = strings.TrimSpace(line)
	if !strings.HasPrefix(line, "|") {
		return nil
	}
	cells := strings.Split(strings.TrimSuffix(line, "|"), "|")
	var names []string
	for _, span := range codeSpan.FindAllStringSubmatch(cells[len(cells)-1], -1) {
		names = append(names, span[1])
	}
	return names
}

// declaredNames returns the names that the Go files of the repository, except tests, declare: package-level names,
// methods, fields, and methods of interfaces. It omits local variables, because almost any word is the name of one.
func declaredNames(root fs.FS) (map[string]bool, error) {
	declared := map[string]bool{}
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && name != "." && strings.HasPrefix(entry.Name(), "."):
			return fs.SkipDir
		case entry.IsDir() || path.Ext(name) != ".go" || strings.HasSuffix(name, "_test.go"):
			return nil
		}
		content, err := fs.ReadFile(root, name)
		if err != nil {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), name, content, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, declaration := range file.Decls {
			addDeclared(declared, declaration)
		}
		return nil
	})
	if err != nil {
		return nil, fmt.Errorf("read the declarations: %w", err)
	}
	return declared, nil
}

// addDeclared adds the names of a top-level declaration.
func addDeclared(declared map[string]bool, declaration ast.Decl) {
	switch declaration := declaration.(type) {
	case *ast.FuncDecl:
		declared[declaration.Name.Name] = true
	case *ast.GenDecl:
		for _, spec := range declaration.Specs {
			addSpec(declared, spec)
		}
	}
}

func addSpec(declared map[string]bool, spec ast.Spec) {
	switch spec := spec.(type) {
	case *ast.ValueSpec:
		addIdents(declared, spec.Names)
	case *ast.TypeSpec:
		declared[spec.Name.Name] = true
		ast.Inspect(spec.Type, func(node ast.Node) bool {
			switch node := node.(type) {
			case *ast.FuncType: // parameter names can't be looked up
				return false
			case *ast.Field:
				addIdents(declared, node.Names)
			}
			return true
		})
	}
}

func addIdents(declared map[string]bool, names []*ast.Ident) {
	for _, name := range names {
		declared[name.Name] = true
	}
}
