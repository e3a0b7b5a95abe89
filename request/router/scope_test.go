package router

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func TestKeysOfDifferentCallersDoNotCollide(t *testing.T) {
	claimed := map[structs.ClaimKey]string{}
	for _, caller := range []string{"weighbridge", "cellar"} {
		s := newScript(t, nil)
		s.arrive(func(r *structs.Request) { r.Caller, r.IdempotencyKey = caller, "a:lot-7" })
		key := only[BeginClaim](s).Claim.Key
		s.c.Assert(claimed[key], qt.Equals, "")
		claimed[key] = caller
		again := newScript(t, nil)
		again.arrive(func(r *structs.Request) { r.ID, r.Caller, r.IdempotencyKey = "other", caller, "a:lot-7" })
		s.c.Assert(only[BeginClaim](again).Claim.Key, qt.Equals, key)
	}
	s := newScript(t, nil)
	s.arrive(func(r *structs.Request) { r.Caller, r.IdempotencyKey = "weighbridge", "b:lot-7" })
	s.c.Assert(only[BeginClaim](s).Claim.Home, qt.Equals, structs.ZoneID("b"))
}

func TestEmbeddingIsPassedToTheEngineAndPartOfTheDigest(t *testing.T) {
	s := newScript(t, nil)
	s.arrive(func(r *structs.Request) { r.Embedding = true })
	s.c.Assert(only[SendAttempt](s).Generate.Embedding, qt.IsTrue)
	plain := structs.Request{Row: "row", Prompt: "prompt", MaxTokens: 1}
	vector := plain
	vector.Embedding = true
	s.c.Assert(RequestDigest(vector), qt.Not(qt.Equals), RequestDigest(plain))
}
