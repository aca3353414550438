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

// UndeclaredName is a Go name in the last column of the glossary that no file of the tree declares.
type UndeclaredName struct {
	Line int // of the page, from 1
	Name string
}

func (n UndeclaredName) String() string {
	return fmt.Sprintf("line %d: no Go declaration of %s", n.Line, n.Name)
}

// CheckGlossary compares the Go names in the last column of a page's tables with the declarations of the
// tree, and gives the number of names that it compared. A name is a code span; of one with a dot in it the
// last part is looked up.
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

// glossaryNames gives the code spans in the last cell of a row of a table; none for any other line.
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

// declaredNames collects what the Go files of the tree that are not tests declare: package-level names,
// methods, fields, and methods of interfaces. Local variables are left out: almost any word is one.
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

// addDeclared adds the names of one declaration of a file.
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
			case *ast.FuncType: // the names of its parameters declare nothing that can be looked up
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
