package fleet

import (
	"strconv"
	"strings"
)

// bornSeparator stands between a runner's ID and when it was started. No ID contains it.
const bornSeparator = "#"

// Incarnation names one life of a runner. Runners may start again under the ID that they had: then they hold
// and know nothing of before, so that all that is kept of a runner is kept of one life of it. Born is when it
// was started, in Unix milliseconds; 0 for a runner that does not say, whose ID then names its only life.
func Incarnation(id string, born int64) string {
	if born <= 0 {
		return id
	}
	return id + bornSeparator + strconv.FormatInt(born, 10)
}

// SplitIncarnation is the reverse of Incarnation.
func SplitIncarnation(name string) (id string, born int64) {
	at := strings.LastIndex(name, bornSeparator)
	if at < 0 {
		return name, 0
	}
	born, err := strconv.ParseInt(name[at+len(bornSeparator):], 10, 64)
	if err != nil || born <= 0 {
		return name, 0
	}
	return name[:at], born
}

// IDOf is the ID by which a runner knows itself.
func IDOf(incarnation string) string {
	id, _ := SplitIncarnation(incarnation)
	return id
}

// IsID reports whether an ID can be told from others in the names of incarnations.
func IsID(id string) bool { return id != "" && !strings.Contains(id, bornSeparator) }

// named is the heartbeat with its incarnation as Instance. Controllers pass heartbeats on under the ID, as those
// of the version before know nothing else.
func (h Heartbeat) named() Heartbeat {
	if !strings.Contains(h.Instance, bornSeparator) {
		h.Instance = Incarnation(h.Instance, h.Born)
	}
	return h
}

// split are the runners under their IDs, with when they were started beside them: routers of the version before
// know nothing else.
func split(runners []Runner) []Runner {
	changed := make([]Runner, len(runners))
	for i, runner := range runners {
		runner.Instance, runner.Born = SplitIncarnation(runner.Instance)
		changed[i] = runner
	}
	return changed
}

// name gives runners that came under their IDs the names of their incarnations.
func name(runners []Runner) {
	for i := range runners {
		runners[i].Instance = Incarnation(runners[i].Instance, runners[i].Born)
		runners[i].Born = 0
	}
}

// withIDs adds to names of incarnations that have ended the IDs of those of which no incarnation is listed, for
// routers of the version before. To others, such an ID names nobody.
func withIDs(ended []string, isListed func(id string) bool) []string {
	listed := ended
	for _, each := range ended {
		if id, born := SplitIncarnation(each); born > 0 && !isListed(id) {
			listed = append(listed, id)
		}
	}
	return listed
}
