package site

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// routeKey is the host and path prefix of a route, which must be unique.
type routeKey struct{ host, prefix string }

// Validate returns an error for the first fault of the document, a *structs.Error of kind
// ErrorInvalid. It depends on nothing but the document.
func (d *Document) Validate() error {
	if d.Version == 0 {
		return invalid("the document has no version", "Set a version higher than the current one.")
	}
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		name := d.Services[i].Name
		if name == "" || services[name] {
			return invalid(fmt.Sprintf("the service name %q is empty or not unique", name), "Give each service a unique name.")
		}
		services[name] = true
		if rate := d.Services[i].ColdRate; !(rate >= 0 && rate <= maxLimit) {
			return invalid(fmt.Sprintf("service %q has a cold rate of %g requests per second", name, rate),
				fmt.Sprintf("Give a number from 0 to %g; 0 sets no limit for cold runners.", maxLimit))
		}
	}
	routeKeys := make(map[routeKey]bool, len(d.Routes))
	for i := range d.Routes {
		if err := d.Routes[i].validate(services); err != nil {
			return err
		}
		key := routeKey{normalHost(d.Routes[i].Host), d.Routes[i].PathPrefix}
		if routeKeys[key] {
			return invalid(fmt.Sprintf("two routes have host %q and prefix %q", key.host, key.prefix), "Remove one of them.")
		}
		routeKeys[key] = true
	}
	return d.validateTenants()
}

func (r *Route) validate(services map[string]bool) error {
	if r.PathPrefix == "" || r.PathPrefix[0] != '/' {
		return invalid(fmt.Sprintf("route %q has the path prefix %q", r.Name, r.PathPrefix), "Begin the prefix with a slash.")
	}
	if r.Timeout <= 0 {
		return invalid(fmt.Sprintf("route %q has no timeout", r.Name), "Set a timeout above 0.")
	}
	total := 0.0
	for _, share := range r.Split {
		if !services[share.Service] {
			return invalid(fmt.Sprintf("route %q names the unknown service %q", r.Name, share.Service), "List the service, or correct its name.")
		}
		if share.Weight < 0 {
			return invalid(fmt.Sprintf("route %q has a negative weight", r.Name), "Give each service a weight of 0 or more.")
		}
		total += share.Weight
	}
	if total <= 0 {
		return invalid(fmt.Sprintf("the weights of route %q sum to 0", r.Name), "Give one of its services a weight above 0.")
	}
	return nil
}

func invalid(message, remedy string) error {
	return structs.NewError(structs.ErrorInvalid, message, remedy)
}
