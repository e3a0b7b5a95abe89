package capacity

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/lotusferry/lotusferry/structs"
)

// The roles whose costs are measured.
const (
	RoleGlobal = "global-voter"
	RoleZone   = "zone-controller"
	RoleRouter = "router"
	RoleRaft   = "raft-member"
	RoleEngine = "engine-traffic"
	// RoleOperator is the daemon that serves an operator.
	RoleOperator = "operator-gateway"
)

// Slope is a measured cost of a role as a function of one variable.
type Slope struct {
	Role string `json:"role"`
	// Name is the measured quantity, and Driver the independent variable.
	Name   string `json:"name"`
	Driver string `json:"driver"`
	// Unit is the unit of Values. The slope is in Unit per Driver.
	Unit   string    `json:"unit"`
	Method string    `json:"method"`
	Sizes  []float64 `json:"sizes"`
	Values []float64 `json:"values"`
	Fit
	Verdict Verdict `json:"verdict"`
}

// probe measures one slope.
type probe struct {
	role, name, driver, unit, method string
	sizes                            []int
	measure                          func(size int) float64
}

// The units and methods of the probes.
const (
	unitBytes  = "bytes"
	unitMicros = "microseconds"

	methodHeap    = "heap after garbage collection"
	methodGob     = "gob with the net/rpc header"
	methodMsgpack = "encoded log or snapshot"
	methodJSON    = "JSON body"
)

var methodCPU = fmt.Sprintf("process time, least of %d rounds", rounds)

// minSizes is the minimum number of sizes of a probe.
const minSizes = 5

// Roles returns the roles accepted by Measure.
func Roles() []string {
	var roles []string
	for _, p := range allProbes() {
		if !slices.Contains(roles, p.role) {
			roles = append(roles, p.role)
		}
	}
	return roles
}

func allProbes() []probe {
	return slices.Concat(globalProbes(), zoneProbes(), planProbes(), viewProbes(), claimProbes(), partProbes(), routerProbes(), raftProbes(), engineProbes(), operatorProbes())
}

// Measure measures the slopes of a role, or of all roles if role is empty, and writes a
// line for each to progress. It returns an error of kind ErrorInvalid if the role is
// unknown, or the slopes measured so far and the error of ctx if ctx is done.
func Measure(ctx context.Context, role string, progress io.Writer) ([]Slope, error) {
	if role != "" && !slices.Contains(Roles(), role) {
		return nil, structs.NewError(structs.ErrorInvalid, "there is no role "+role, "Choose from "+strings.Join(Roles(), ", ")+".")
	}
	var slopes []Slope
	for _, p := range allProbes() {
		if role != "" && p.role != role {
			continue
		}
		if ctx.Err() != nil {
			return slopes, ctx.Err()
		}
		slope := p.run()
		slopes = append(slopes, slope)
		fmt.Fprintln(progress, slope)
	}
	return slopes, nil
}

func (p probe) run() Slope {
	slope := Slope{Role: p.role, Name: p.name, Driver: p.driver, Unit: p.unit, Method: p.method}
	for _, size := range p.sizes {
		slope.Sizes = append(slope.Sizes, float64(size))
		slope.Values = append(slope.Values, p.measure(size))
	}
	slope.Fit = LeastSquares(slope.Sizes, slope.Values)
	slope.Verdict = slope.Fit.Judge(slope.Sizes, slope.Values)
	return slope
}

// String returns the slope as one line of text.
func (s Slope) String() string {
	return fmt.Sprintf("%-16s %-44s %12.4g + %10.4g %s per %s  (R² %.4f, largest residual %.3g: %s)",
		s.Role, s.Name, s.Intercept, s.Slope, s.Unit, s.Driver, s.RSquared, s.LargestResidual, s.Verdict)
}
