package fleet

import (
	"strconv"
	"strings"
)

// incarnationSeparator separates a runner's ID from its start time. No ID contains it.
const incarnationSeparator = "#"

// Incarnation returns the name of one incarnation of a runner: a runner that restarts under the
// same ID has lost its state, so all state kept about runners belongs to an incarnation. startTime is
// the start time in Unix milliseconds, or 0 if the runner does not report it; the name is then the
// ID.
func Incarnation(id string, startTime int64) string {
	if startTime <= 0 {
		return id
	}
	return id + incarnationSeparator + strconv.FormatInt(startTime, 10)
}

// SplitIncarnation splits the name of an incarnation into ID and start time. startTime is 0 if the name
// has none.
func SplitIncarnation(name string) (id string, startTime int64) {
	at := strings.LastIndex(name, incarnationSeparator)
	if at < 0 {
		return name, 0
	}
	startTime, err := strconv.ParseInt(name[at+len(incarnationSeparator):], 10, 64)
	if err != nil || startTime <= 0 {
		return name, 0
	}
	return name[:at], startTime
}

// IDOf returns the runner ID of an incarnation.
func IDOf(incarnation string) string {
	id, _ := SplitIncarnation(incarnation)
	return id
}

// IsID reports whether id is a valid runner ID: not empty and without the separator.
func IsID(id string) bool { return id != "" && !strings.Contains(id, incarnationSeparator) }

// withIncarnation returns the heartbeat with the incarnation's name as Instance. Controllers
// forward heartbeats under the ID for compatibility with the previous version.
func (h Heartbeat) withIncarnation() Heartbeat {
	if !strings.Contains(h.Instance, incarnationSeparator) {
		h.Instance = Incarnation(h.Instance, h.Born)
	}
	return h
}

// splitIncarnations returns the runners with ID and start time in separate fields, for routers of
// the previous version, which know only IDs.
func splitIncarnations(runners []Runner) []Runner {
	changed := make([]Runner, len(runners))
	for i, runner := range runners {
		runner.Instance, runner.Born = SplitIncarnation(runner.Instance)
		changed[i] = runner
	}
	return changed
}

// joinIncarnations is the inverse of splitIncarnations, in place.
func joinIncarnations(runners []Runner) {
	for i := range runners {
		runners[i].Instance = Incarnation(runners[i].Instance, runners[i].Born)
		runners[i].Born = 0
	}
}

// appendIDs appends to the names of ended incarnations the IDs of runners without a listed
// incarnation, for routers of the previous version. Other routers know no instance of that name.
func appendIDs(ended []string, isListed func(id string) bool) []string {
	listed := ended
	for _, each := range ended {
		if id, startTime := SplitIncarnation(each); startTime > 0 && !isListed(id) {
			listed = append(listed, id)
		}
	}
	return listed
}
