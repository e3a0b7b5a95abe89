package report

import (
	"errors"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

func TestSVGReturnsAnElement(t *testing.T) {
	drawn, err := SVG(plot.New(), 5*vg.Centimeter, 5*vg.Centimeter)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, strings.HasPrefix(string(drawn), "<svg"), qt.IsTrue)
}

func TestWriteFolderWritesFilesAndReturnsErrors(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "new")
	write := func(w io.Writer) error { _, err := io.WriteString(w, "page"); return err }
	qt.Assert(t, WriteFolder(folder, map[string]int{"a": 1}, write), qt.IsNil)
	for name, want := range map[string]string{DocumentName: `"a": 1`, PageName: "page"} {
		content, err := os.ReadFile(filepath.Join(folder, name))
		qt.Assert(t, err, qt.IsNil)
		qt.Check(t, string(content), qt.Contains, want)
	}
	failing := func(io.Writer) error { return errors.New("no page") }
	qt.Assert(t, WriteFolder(folder, 1, failing), qt.ErrorMatches, "no page")
}
