package api

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestMiddleTokensAreEncodedAsTheWholeChunk(t *testing.T) {
	for _, chat := range []bool{false, true} {
		for _, text := range []string{"", "plain", `"quoted" \ <tag> &`, "new\nline\x00\x7f", "größe 世界", "\xff broken", frameText} {
			asked := generation{chat: chat, request: structs.Request{ID: "id", Row: "row " + frameText + ` "x"`}}
			encoder := &streamEncoder{reply: reply{generation: asked}, tokens: 2}
			qt.Assert(t, encoder.encodeFrame(), qt.IsNil)
			got := append(encoder.before, appendQuoted(nil, text)...)
			got = append(got, encoder.after...)
			want, err := json.Marshal(encoder.chunk(structs.Token{Text: text}))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(got), qt.Equals, string(want))
		}
	}
}
