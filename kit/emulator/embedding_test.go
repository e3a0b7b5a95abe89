package emulator_test

import (
	"io"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/kit/emulator"
	"github.com/lotusferry/lotusferry/structs"
)

func TestEmbeddingAnswerHasOneToken(t *testing.T) {
	r := newServerFixture(t, testScale, nil)
	each := request("e", "m", "the first picking of the season")
	each.Embedding = true
	tokens, err := r.generate(each)
	r.Assert(err, qt.Equals, io.EOF)
	r.Assert(tokens, qt.DeepEquals, []structs.Token{{
		ID: "e", Text: emulator.ExpectedVectorText("m", each.Prompt), Finish: structs.FinishStop,
	}})
}
