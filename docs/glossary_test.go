// Package docs_test checks what the pages say of the code.
package docs_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestGlossaryNamesWhatTheCodeHas looks each type and package of the glossary up.
func TestGlossaryNamesWhatTheCodeHas(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("GLOSSARY.md")
	c.Assert(err, qt.IsNil)
	types := regexp.MustCompile("`([a-z]+)\\.([A-Z][A-Za-z]*)`").FindAllStringSubmatch(string(page), -1)
	c.Assert(len(types) > 20, qt.IsTrue)
	for _, name := range types {
		c.Check(declares(c, name[1], name[2]), qt.IsTrue, qt.Commentf(name[0]))
	}
	for _, list := range regexp.MustCompile("packages? ((?:`[a-z]+`(?:, )?)+)").FindAllStringSubmatch(string(page), -1) {
		for _, name := range strings.Split(list[1], ", ") {
			c.Check(folderOf(c, strings.Trim(name, "`")), qt.Not(qt.Equals), "", qt.Commentf(name))
		}
	}
}

// folderOf finds the folder of a package, or returns "". No two have the same name.
func folderOf(c *qt.C, name string) string {
	c.Helper()
	var found []string
	for _, pattern := range []string{"*", "*/*", "*/*/*"} {
		folders, err := filepath.Glob(filepath.Join("..", filepath.Dir(pattern), name, "doc.go"))
		c.Assert(err, qt.IsNil)
		found = append(found, folders...)
	}
	if len(found) == 0 {
		return ""
	}
	c.Assert(found, qt.HasLen, 1)
	return filepath.Dir(found[0])
}

// declares reports whether the package declares a type of that name.
func declares(c *qt.C, name, typeName string) bool {
	c.Helper()
	folder := folderOf(c, name)
	if folder == "" {
		return false
	}
	files, err := filepath.Glob(filepath.Join(folder, "*.go"))
	c.Assert(err, qt.IsNil)
	found := false
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		c.Assert(err, qt.IsNil)
		ast.Inspect(file, func(node ast.Node) bool {
			declared, isType := node.(*ast.TypeSpec)
			found = found || isType && declared.Name.Name == typeName
			return !found
		})
	}
	return found
}
