package domain

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestExpandRejectsOversizedDocument(t *testing.T) {
	c := qt.New(t)
	compressed, err := Compress(make([]byte, maxSourceBytes+1))
	c.Assert(err, qt.IsNil)
	_, err = Expand(compressed)
	c.Assert(structs.KindOf(err), qt.Equals, structs.ErrorInvalid)
	c.Assert(err, qt.ErrorMatches, ".*larger than 32 MiB.*Split the site.*")
}
