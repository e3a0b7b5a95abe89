package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestDigestDistinguishesContents(t *testing.T) {
	zero, one := 0.0, 1.0
	first, second := int64(1), int64(2)
	contents := []structs.Request{
		{},
		{Row: "r"},
		{Prompt: "p"},
		{MaxTokens: 1},
		{Embedding: true},
		{Sampling: &structs.Sampling{Temperature: &zero}},
		{Sampling: &structs.Sampling{Temperature: &one}},
		{Sampling: &structs.Sampling{TopP: &one}},
		{Sampling: &structs.Sampling{Seed: &first}},
		{Sampling: &structs.Sampling{Seed: &second}},
		{Sampling: &structs.Sampling{Stop: []string{"a", "b"}}},
		{Sampling: &structs.Sampling{Stop: []string{"ab"}}},
	}
	digests := map[uint64]int{}
	for index, request := range contents {
		digests[RequestDigest(request)] = index
		request.ID, request.Caller, request.Forwarded = "another", "caller", true
		qt.Check(t, digests[RequestDigest(request)], qt.Equals, index)
	}
	qt.Check(t, digests, qt.HasLen, len(contents))
}
