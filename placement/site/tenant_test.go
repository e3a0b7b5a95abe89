package site

import (
	"math"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

func documentWithTenants() *Document {
	document := validDocument()
	document.RequiresKeys = true
	document.Tenants = []Tenant{
		{Name: "a", Keys: []keys.Hash{keys.HashAPIKey("key-a"), keys.HashAPIKey("key-a2")}, Limit: RateLimit{Rate: 5, Burst: 2}},
		{Name: "b", Keys: []keys.Hash{keys.HashAPIKey("key-b")}},
		{Name: "without keys"},
	}
	return document
}

func TestTenantOfFindsTenantByKey(t *testing.T) {
	c := qt.New(t)
	document := documentWithTenants()
	c.Assert(document.Validate(), qt.IsNil)
	index := NewIndex(document)
	for key, name := range map[string]string{"key-a": "a", "key-a2": "a", "key-b": "b"} {
		c.Assert(index.TenantOf(key).Name, qt.Equals, name)
	}
	for _, key := range []string{"", "key", "key-a ", "KEY-A"} {
		c.Assert(index.TenantOf(key), qt.IsNil, qt.Commentf("%q", key))
	}
}

func TestValidateRejectsInvalidTenants(t *testing.T) {
	for name, change := range map[string]func(*Document){
		"shared key":            func(d *Document) { d.Tenants[1].Keys = d.Tenants[0].Keys[:1] },
		"duplicate name":        func(d *Document) { d.Tenants[1].Name = "a" },
		"no name":               func(d *Document) { d.Tenants[1].Name = "" },
		"negative rate":         func(d *Document) { d.Tenants[0].Limit.Rate = -1 },
		"negative burst":        func(d *Document) { d.Tenants[0].Limit.Burst = -1 },
		"infinite rate":         func(d *Document) { d.Tenants[0].Limit.Rate = math.Inf(1) },
		"burst is NaN":          func(d *Document) { d.Tenants[0].Limit.Burst = math.NaN() },
		"negative plain tokens": func(d *Document) { d.Tenants[0].Limit.PlainTokens = -3 },
	} {
		t.Run(name, func(t *testing.T) {
			document := documentWithTenants()
			change(document)
			qt.Assert(t, structs.KindOf(document.Validate()), qt.Equals, structs.ErrorInvalid)
		})
	}
}

func TestCostUsesUnitOfLimit(t *testing.T) {
	c := qt.New(t)
	tokens := RateLimit{Unit: UnitTokens, Rate: 1, PlainTokens: 200}
	c.Assert(tokens.Cost(1540), qt.Equals, 1540.0)
	c.Assert(tokens.Cost(0), qt.Equals, 0.0)
	c.Assert(tokens.Cost(-1), qt.Equals, 200.0)
	c.Assert(RateLimit{Rate: 1, PlainTokens: 200}.Cost(1540), qt.Equals, 1.0)
}

func BenchmarkTenantOf(b *testing.B) {
	index := NewIndex(documentWithTenants())
	b.ReportAllocs()
	for b.Loop() {
		if index.TenantOf("key-a2") == nil {
			b.Fatal("the key is unknown")
		}
	}
}
