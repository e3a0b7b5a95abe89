package docs_test

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// knownRunPattern matches entries of KNOWN-RED.txt that are runs of a program instead of Go tests.
var knownRunPattern = regexp.MustCompile(`^((soak|release)-seed-[0-9]+|sweep-[0-9]+-machines|fleet-[a-z]+-[0-9]+)$`)

// testPattern matches the declaration of a test.
var testPattern = regexp.MustCompile(`(?m)^func (Test\w+)\(`)

// declaredTests returns the names of all tests of the repository.
func declaredTests(c *qt.C) map[string]bool {
	names := make(map[string]bool)
	err := filepath.WalkDir("..", func(path string, entry fs.DirEntry, err error) error {
		switch {
		case err != nil:
			return err
		case entry.IsDir() && slices.Contains([]string{".git", "journal", "target"}, entry.Name()):
			return fs.SkipDir
		case !strings.HasSuffix(path, "_test.go"):
			return nil
		}
		source, err := os.ReadFile(path)
		for _, found := range testPattern.FindAllSubmatch(source, -1) {
			names[string(found[1])] = true
		}
		return err
	})
	c.Assert(err, qt.IsNil)
	return names
}

// unknownEntries returns the first words of the lines of a list that name neither a test nor a run.
func unknownEntries(list []byte, tests map[string]bool) (unknown []string) {
	for line := range bytes.Lines(list) {
		words := strings.Fields(string(line))
		if len(words) == 0 {
			continue
		}
		name := strings.TrimSuffix(words[0], ":")
		if !tests[name] && !knownRunPattern.MatchString(name) {
			unknown = append(unknown, name)
		}
	}
	return unknown
}

// Guards against an entry of KNOWN-RED.txt that outlives its test's name, so that the test runs
// although it is listed and a failure of it is no longer told from a new one.
func TestKnownRedNamesTests(t *testing.T) {
	c := qt.New(t)
	tests := declaredTests(c)
	list, err := os.ReadFile("../KNOWN-RED.txt")
	if !os.IsNotExist(err) {
		c.Assert(err, qt.IsNil)
	}
	c.Assert(unknownEntries(list, tests), qt.HasLen, 0)
	c.Assert(unknownEntries([]byte("TestSilentPeerIsDialledAgain: renamed\n\nsoak-seed-101: x\nsweep-300-machines: x\nTestKnownRedNamesTests: y\n"), tests),
		qt.DeepEquals, []string{"TestSilentPeerIsDialledAgain"})
}
