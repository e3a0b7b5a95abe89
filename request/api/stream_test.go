package api

import (
	"encoding/json"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestTemplateEncodingMatchesFullEncoding(t *testing.T) {
	for _, chat := range []bool{false, true} {
		for _, text := range []string{"", "plain", `"quoted" \ <tag> &`, "new\nline\x00\x7f", "größe 世界", "\xff broken", placeholderText} {
			decoded := generation{chat: chat, request: structs.Request{ID: "id", Row: "row " + placeholderText + ` "x"`}}
			encoder := &streamEncoder{reply: reply{generation: decoded}, tokens: 2}
			qt.Assert(t, encoder.encodeTemplate(), qt.IsNil)
			got := append(encoder.prefix, appendQuoted(nil, text)...)
			got = append(got, encoder.suffix...)
			want, err := json.Marshal(encoder.chunk(structs.Token{Text: text}))
			qt.Assert(t, err, qt.IsNil)
			qt.Check(t, string(got), qt.Equals, string(want))
		}
	}
}
