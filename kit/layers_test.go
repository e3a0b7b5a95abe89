package kit

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const modulePath = "github.com/lotusferry/lotusferry/"

// buildFolder holds build output, which may include copies of other versions of the
// sources. It is not part of the repository.
const buildFolder = "target"

// layers lists the top-level folders, from the lowest layer to the highest. A package
// may only import packages of its own layer or of lower ones.
var layers = []string{"structs", "internal", "agreement", "placement", "config", "operatorapi", "request", "ctl", "daemon", "platform", "kit", "cmd"}

// layerOf returns the index in layers for the package in the folder.
func layerOf(c *qt.C, folder string) int {
	c.Helper()
	first, _, _ := strings.Cut(folder, "/")
	if folder == "platform/soak" {
		// The soak test belongs to the kit but uses the platform's names.
		first = "kit"
	}
	layer := slices.Index(layers, first)
	c.Assert(layer >= 0, qt.IsTrue, qt.Commentf("%s is in no layer", folder))
	return layer
}

func TestPackagesImportOnlySameOrLowerLayers(t *testing.T) {
	c := qt.New(t)
	read := 0
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		name := filepath.ToSlash(strings.TrimPrefix(path, ".."+string(filepath.Separator)))
		if entry.IsDir() && (strings.HasPrefix(entry.Name(), ".") && path != ".." || entry.Name() == "testdata" || name == "journal" || name == buildFolder) {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(name, ".go") || strings.HasSuffix(name, "_test.go") {
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		read++
		folder := filepath.ToSlash(filepath.Dir(name))
		for _, imported := range file.Imports {
			target, isOwn := strings.CutPrefix(strings.Trim(imported.Path.Value, `"`), modulePath)
			if isOwn {
				c.Check(layerOf(c, target) <= layerOf(c, folder), qt.IsTrue, qt.Commentf("%s imports %s", name, target))
			}
		}
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(read > 300, qt.IsTrue, qt.Commentf("%d files", read))
}
