package site

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

// place is what must be unique among routes.
type place struct{ host, prefix string }

// Validate reports the first fault of the document as a *structs.Error of kind
// ErrorInvalid, or nil. It looks at nothing but the document.
func (d *Document) Validate() error {
	if d.Version == 0 {
		return invalid("the document has no version", "Give it a version above the one in force.")
	}
	services := make(map[string]bool, len(d.Services))
	for i := range d.Services {
		name := d.Services[i].Name
		if name == "" || services[name] {
			return invalid(fmt.Sprintf("the service name %q is empty or stands twice", name), "Give each service a name of its own.")
		}
		services[name] = true
		if rate := d.Services[i].ColdRate; !(rate >= 0 && rate <= maxLimit) {
			return invalid(fmt.Sprintf("the cold runners of service %q bear %g requests a second", name, rate),
				fmt.Sprintf("Give a number from 0 to %g; 0 means that they bear as many as others.", maxLimit))
		}
	}
	places := make(map[place]bool, len(d.Routes))
	for i := range d.Routes {
		if err := d.Routes[i].validate(services); err != nil {
			return err
		}
		at := place{normalHost(d.Routes[i].Host), d.Routes[i].PathPrefix}
		if places[at] {
			return invalid(fmt.Sprintf("two routes have host %q and prefix %q", at.host, at.prefix), "Keep one of them.")
		}
		places[at] = true
	}
	return d.validateTenants()
}

func (r *Route) validate(services map[string]bool) error {
	if r.PathPrefix == "" || r.PathPrefix[0] != '/' {
		return invalid(fmt.Sprintf("route %q has the path prefix %q", r.Name, r.PathPrefix), "Begin the prefix with a slash.")
	}
	if r.Timeout <= 0 {
		return invalid(fmt.Sprintf("route %q has no time-out", r.Name), "Give it a time-out above 0.")
	}
	total := 0.0
	for _, share := range r.Split {
		if !services[share.Service] {
			return invalid(fmt.Sprintf("route %q names the unknown service %q", r.Name, share.Service), "List the service, or correct its name.")
		}
		if share.Weight < 0 {
			return invalid(fmt.Sprintf("route %q has a weight below 0", r.Name), "Give each service a weight of 0 or more.")
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
