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

// buildFolder is where builds put what they make, copies of other versions of the sources among it; it is no part
// of the repository.
const buildFolder = "target"

// layers are the folders at the root, from the lowest to the highest. A package imports
// packages of its own layer and of lower ones only.
var layers = []string{"structs", "internal", "agreement", "placement", "config", "operatorapi", "request", "ctl", "daemon", "platform", "kit", "cmd"}

// layerOf is the layer of the package in a folder.
func layerOf(c *qt.C, folder string) int {
	c.Helper()
	first, _, _ := strings.Cut(folder, "/")
	if folder == "platform/soak" {
		// It tries the product out in the platform's own words.
		first = "kit"
	}
	layer := slices.Index(layers, first)
	c.Assert(layer >= 0, qt.IsTrue, qt.Commentf("%s is in no layer", folder))
	return layer
}

func TestNoImportRunsFromALowerLayerToAHigherOne(t *testing.T) {
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
