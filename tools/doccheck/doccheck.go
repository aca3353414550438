// Package doccheck finds broken references in Markdown pages: paths, tests and targets of relative links that don't
// exist in the repository, and names in the glossary that no Go file declares. Its tests check this repository.
package doccheck

import (
	"fmt"
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strings"
)

// BrokenReference is a reference on a page to something that doesn't exist.
type BrokenReference struct {
	Page string
	Kind Kind
	Name string
}

func (r BrokenReference) String() string {
	return fmt.Sprintf("%s: no such %s: %s", r.Page, r.Kind, r.Name)
}

// Kind is the kind of thing that a reference names.
type Kind string

// Kinds of references.
const (
	PathKind Kind = "path"
	TestKind Kind = "test"
	LinkKind Kind = "link target"
)

// historicalFolders are folders of pages about the code at a certain date: measurements and incidents name files as
// they were then, so their paths are not checked. Their links and tests are.
var historicalFolders = []string{"docs/measurements/", "docs/incidents/"}

// nodeDataPaths are paths in a node's data folder that start like a path of the repository.
var nodeDataPaths = []string{"journal/*.jsonl"}

// buildOutputs are folders into which builds write the programs of cmd/.
var buildOutputs = []string{"bin/", "bin-faults/", "target/"}

// pathExtensions are file extensions by which a name with a slash counts as a path of the repository.
var pathExtensions = []string{".go", ".md", ".json", ".toml", ".patch", ".proto", ".svg", ".txt", ".conf", ".mod", ".sum", ".yml"}

// bareExtensions are file extensions by which a name without a slash counts as a file in any folder of the
// repository. They don't include .json, because programs write files with names such as `report.json`.
var bareExtensions = []string{".go", ".patch"}

var (
	codeBlock      = regexp.MustCompile("(?ms)^ *```.*?^ *```[^\n]*$")
	blankLine      = regexp.MustCompile(`\n[ \t]*\n`)
	codeSpan       = regexp.MustCompile("`([^`]+)`")
	inlineLink     = regexp.MustCompile(`\]\(\s*<?([^)\s>]+)>?[^)]*\)`)
	linkDefinition = regexp.MustCompile(`(?m)^ {0,3}\[[^\]]+\]:\s*(\S+)`)
	urlScheme      = regexp.MustCompile(`^[a-zA-Z][a-zA-Z0-9+.-]*:`)
	testName       = regexp.MustCompile(`^((?:Test|Fuzz)[A-Z]\w*)(\*?)(?:/.*)?$`)
	testFunc       = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz)\w+)\(`)
	lineNumber     = regexp.MustCompile(`:\d+$`)
)

// tree is an index of the repository's files and tests.
type tree struct {
	files      fs.FS
	topFolders []string
	baseNames  map[string]bool
	tests      []string
}

// Check returns the broken references of the given pages, which are paths relative to the root.
func Check(root fs.FS, pages []string) ([]BrokenReference, error) {
	known, err := readTree(root)
	if err != nil {
		return nil, err
	}
	var broken []BrokenReference
	for _, page := range pages {
		content, err := fs.ReadFile(root, page)
		if err != nil {
			return nil, fmt.Errorf("read the page: %w", err)
		}
		broken = append(broken, known.checkPage(page, string(content))...)
	}
	return broken, nil
}

// readTree indexes the folders, file names and test functions. It skips hidden folders such as .git.
func readTree(root fs.FS) (tree, error) {
	known := tree{files: root, baseNames: map[string]bool{}}
	err := fs.WalkDir(root, ".", func(name string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case name == ".":
			return nil
		case entry.IsDir() && strings.HasPrefix(entry.Name(), "."):
			return fs.SkipDir
		case entry.IsDir():
			return known.addFolder(name)
		}
		return known.addFile(name)
	})
	if err != nil {
		return known, fmt.Errorf("index the repository: %w", err)
	}
	return known, nil
}

func (t *tree) addFolder(name string) error {
	if strings.Contains(name, "/") {
		return nil
	}
	if slices.Contains(buildOutputs, name+"/") {
		return fs.SkipDir
	}
	t.topFolders = append(t.topFolders, name)
	return nil
}

func (t *tree) addFile(name string) error {
	t.baseNames[path.Base(name)] = true
	if !strings.HasSuffix(name, "_test.go") {
		return nil
	}
	content, err := fs.ReadFile(t.files, name)
	for _, match := range testFunc.FindAllStringSubmatch(string(content), -1) {
		t.tests = append(t.tests, match[1])
	}
	return err
}

func (t *tree) checkPage(page, content string) []BrokenReference {
	var broken []BrokenReference
	prose := codeBlock.ReplaceAllString(content, "")
	for _, paragraph := range blankLine.Split(prose, -1) {
		for _, span := range codeSpan.FindAllStringSubmatch(paragraph, -1) {
			broken = append(broken, t.checkSpan(page, span[1])...)
		}
		// A bracket followed by a parenthesis within a code span is not a link.
		broken = append(broken, t.checkLinks(page, codeSpan.ReplaceAllString(paragraph, "code"))...)
	}
	return broken
}

func (t *tree) checkSpan(page, span string) []BrokenReference {
	isHistorical := slices.ContainsFunc(historicalFolders, func(folder string) bool { return strings.HasPrefix(page, folder) })
	var broken []BrokenReference
	for _, word := range strings.Fields(span) {
		if match := testName.FindStringSubmatch(word); match != nil {
			if !t.hasTest(match[1], match[2] == "*") {
				broken = append(broken, BrokenReference{page, TestKind, word})
			}
			continue
		}
		if !isHistorical && !t.hasPath(page, word) {
			broken = append(broken, BrokenReference{page, PathKind, word})
		}
	}
	return broken
}

func (t *tree) hasTest(name string, isPrefix bool) bool {
	return slices.ContainsFunc(t.tests, func(known string) bool {
		return known == name || isPrefix && strings.HasPrefix(known, name)
	})
}

// hasPath reports whether a word is not a path of the repository, or is one that exists.
func (t *tree) hasPath(page, word string) bool {
	name := lineNumber.ReplaceAllString(strings.TrimPrefix(word, "./"), "")
	name = strings.TrimSuffix(strings.TrimSuffix(name, "/..."), "/")
	for _, folder := range buildOutputs {
		if program, isProgram := strings.CutPrefix(name, folder); isProgram {
			name = "cmd/" + program
		}
	}
	folder, _, hasSlash := strings.Cut(name, "/")
	extension := path.Ext(name)
	switch {
	case !hasSlash && !strings.HasPrefix(word, "./"):
		return !slices.Contains(bareExtensions, extension) || strings.Contains(name, "*") || name == extension || t.baseNames[name]
	case slices.Contains(nodeDataPaths, name):
		return true
	case name == "..." || strings.HasPrefix(name, "/") || urlScheme.MatchString(name):
		return true
	case !slices.Contains(t.topFolders, folder) && !slices.Contains(pathExtensions, extension) && !strings.HasPrefix(word, "./"):
		return true
	}
	return t.matches(name) || t.matches(path.Join(path.Dir(page), name))
}

// matches reports whether at least one file or folder matches a path, which may contain wildcards.
func (t *tree) matches(name string) bool {
	found, err := fs.Glob(t.files, name)
	return err == nil && len(found) > 0
}

func (t *tree) checkLinks(page, paragraph string) []BrokenReference {
	var broken []BrokenReference
	links := append(inlineLink.FindAllStringSubmatch(paragraph, -1), linkDefinition.FindAllStringSubmatch(paragraph, -1)...)
	for _, link := range links {
		target, _, _ := strings.Cut(link[1], "#")
		if target == "" || urlScheme.MatchString(target) {
			continue
		}
		// A target outside the repository is not a valid path of the file system, so it is reported too.
		if _, err := fs.Stat(t.files, path.Join(path.Dir(page), target)); err != nil {
			broken = append(broken, BrokenReference{page, LinkKind, link[1]})
		}
	}
	return broken
}
