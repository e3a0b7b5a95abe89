package site

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/structs"
)

func validDocument() *Document {
	return &Document{
		Version:  3,
		Services: []Service{{Name: "answers"}, {Name: "search"}},
		Routes: []Route{
			{Name: "all", Host: "a.example", PathPrefix: "/", Timeout: time.Second, Split: []Share{{"answers", 1}}},
			{Name: "find", Host: "a.example", PathPrefix: "/find/", Timeout: time.Second, Split: []Share{{"search", 1}}},
			{Name: "split", Host: "b.example", PathPrefix: "/x/", Timeout: time.Second, Split: []Share{{"answers", 90}, {"search", 10}}},
		},
	}
}

func TestRouteUsesLongestPrefixOfHost(t *testing.T) {
	c := qt.New(t)
	index := NewIndex(validDocument())
	c.Assert(index.Route("A.example:80", "/find/it").Name, qt.Equals, "find")
	c.Assert(index.Route("a.example", "/findings").Name, qt.Equals, "all")
	c.Assert(index.Route("b.example", "/y/"), qt.IsNil)
	c.Assert(index.Route("c.example", "/find/"), qt.IsNil)
}

func TestPickFollowsWeights(t *testing.T) {
	c := qt.New(t)
	route := validDocument().Routes[2]
	c.Assert(route.Pick(0), qt.Equals, "answers")
	c.Assert(route.Pick(0.899), qt.Equals, "answers")
	c.Assert(route.Pick(0.9), qt.Equals, "search")
	c.Assert(route.Pick(0.9999), qt.Equals, "search")
}

func TestValidateRejectsInvalidDocuments(t *testing.T) {
	for name, change := range map[string]func(*Document){
		"no version":      func(d *Document) { d.Version = 0 },
		"unknown service": func(d *Document) { d.Routes[0].Split[0].Service = "nowhere" },
		"duplicate route": func(d *Document) { d.Routes[1].PathPrefix = "/" },
		"duplicate route in other case": func(d *Document) {
			d.Routes[1].PathPrefix, d.Routes[1].Host = "/", "A.EXAMPLE"
		},
		"zero weight":            func(d *Document) { d.Routes[0].Split[0].Weight = 0 },
		"no timeout":             func(d *Document) { d.Routes[0].Timeout = 0 },
		"no split":               func(d *Document) { d.Routes[0].Split = nil },
		"duplicate service name": func(d *Document) { d.Services[1].Name = "answers" },
		"prefix without slash":   func(d *Document) { d.Routes[0].PathPrefix = "x" },
	} {
		t.Run(name, func(t *testing.T) {
			document := validDocument()
			qt.Assert(t, document.Validate(), qt.IsNil)
			change(document)
			qt.Assert(t, structs.KindOf(document.Validate()), qt.Equals, structs.ErrorInvalid)
		})
	}
}
