package site

import (
	"cmp"
	"slices"
	"strings"

	"github.com/lotusferry/lotusferry/internal/keys"
)

// Index finds the route of a request in one document. It is immutable and safe for
// concurrent use.
type Index struct {
	Document *Document
	// routes lists the routes of each host, the longest prefix first.
	routes   map[string][]*Route
	services map[string]*Service
	// tenants is keyed by the hashes of the tenants' keys.
	tenants map[keys.Hash]*Tenant
}

// NewIndex returns the index of a document, which must not be modified afterwards.
func NewIndex(document *Document) *Index {
	index := &Index{
		Document: document,
		routes:   make(map[string][]*Route),
		services: make(map[string]*Service),
		tenants:  make(map[keys.Hash]*Tenant),
	}
	for i := range document.Tenants {
		for _, key := range document.Tenants[i].Keys {
			index.tenants[key] = &document.Tenants[i]
		}
	}
	for i := range document.Services {
		service := &document.Services[i]
		index.services[service.Name] = service
		if service.Engine != nil {
			service.Engine.indexModels()
		}
	}
	for i := range document.Routes {
		route := &document.Routes[i]
		host := normalHost(route.Host)
		index.routes[host] = append(index.routes[host], route)
	}
	for _, routes := range index.routes {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	return index
}

// Route returns the route with the longest prefix of the path, or nil if none matches.
// The host may include a port.
func (x *Index) Route(host, path string) *Route {
	for _, route := range x.routes[normalHost(host)] {
		if strings.HasPrefix(path, route.PathPrefix) {
			return route
		}
	}
	return nil
}

// Service returns the named service, or nil if there is none.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Pick returns the service for a request, where point is drawn uniformly from [0, 1).
func (r *Route) Pick(point float64) string {
	total := 0.0
	for _, share := range r.Split {
		total += share.Weight
	}
	point *= total
	last := ""
	for _, share := range r.Split {
		if share.Weight <= 0 {
			continue
		}
		last = share.Service
		if point < share.Weight {
			return last
		}
		point -= share.Weight
	}
	return last
}

func normalHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	return strings.ToLower(host)
}
