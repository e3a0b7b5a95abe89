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
			_, err := os.Stat(filepath.Join("..", strings.Trim(name, "`"), "doc.go"))
			c.Check(err, qt.IsNil, qt.Commentf(name))
		}
	}
}

// declares reports whether the package declares a type of that name.
func declares(c *qt.C, folder, name string) bool {
	files, err := filepath.Glob(filepath.Join("..", folder, "*.go"))
	c.Assert(err, qt.IsNil)
	found := false
	for _, path := range files {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		c.Assert(err, qt.IsNil)
		ast.Inspect(file, func(node ast.Node) bool {
			declared, isType := node.(*ast.TypeSpec)
			found = found || isType && declared.Name.Name == name
			return !found
		})
	}
	return found
}
