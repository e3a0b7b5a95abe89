package labcommand

import (
	"fmt"
	"strings"

	"github.com/lotusferry/lotusferry/kit/simulate"
)

// failure is a kind of failure of a site, with the commands that reproduce it.
type failure struct {
	Name     string `json:"name"`
	Sentence string `json:"sentence"`
	// Simulate lists scenarios of the command simulate, and Fleet kinds of fault of the
	// command fleet. An empty list means that the command does not support the failure.
	Simulate []string `json:"simulate"`
	Fleet    []string `json:"fleet"`
}

var failures = []failure{
	{"death-in-load", "A process dies in the middle of a load.",
		[]string{"table/loading-death", "site/loading-death"}, []string{"engine-die-on-load"}},
	{"slow-store", "The weight store slows down.",
		[]string{"table/slow-store", "site/slow-store"}, []string{"store-slow"}},
	{"reclaimed-machine", "A machine is reclaimed at short notice, and the machine list lags.",
		[]string{"table/reclaimed", "site/reclaimed", "requests", "site"}, []string{"runner-leave"}},
	{"stale-leader", "A controller is cut off without noticing and still believes that it leads.",
		[]string{"table/silent-leader", "site/silent-leader"}, []string{"leader-cut", "daemon-pause"}},
	{"racing-edits", "Operators race edits that are made against the same revision.",
		[]string{"table/racing-edits", "site/racing-edits"}, []string{"edit-race"}},
	{"resent-edits", "Operators lose the answer to an edit and resend it.",
		[]string{"table/resent-edits", "site/resent-edits"}, []string{"edit-resend"}},
	{"second-loss", "A second control machine is lost right after the repair of a first one.",
		[]string{"table/second-loss", "site/second-loss"}, []string{"second-disk"}},
	{"restart-behind", "A process restarts after hundreds of edits have passed it by.",
		[]string{"table/restart-behind", "site/restart-behind"}, []string{"edits-pass"}},
	{"zone-cut", "A zone is cut off for six hours, serves alone, and rejoins after hundreds of edits.",
		[]string{"table/zone-cut"}, nil},
	{"zone-cut-short", "A zone is cut off for seconds.",
		[]string{"table", "requests", "site"}, []string{"zone-cut"}},
	{"site-restart", "All machines of the site restart at once.",
		[]string{"table/site-restart", "site/site-restart"}, []string{"site-restart"}},
	{"replaced-disk", "A control machine's disk is replaced by an empty one.",
		[]string{"table/replaced-disk", "site/replaced-disk"}, []string{"disk-replace"}},
	{"clock-steps", "Clocks drift and step.",
		[]string{"table/clock-steps", "site/clock-steps"}, nil},
	{"lossy-network", "Messages are lost, doubled, delayed and reordered.",
		[]string{"table/lossy-network", "site/lossy-network", "requests", "site"}, nil},
	{"full-disk", "A disk is full, or slow.",
		[]string{"table/full-disk", "site/full-disk"}, nil},
	{"engine-crash", "An engine dies and comes back empty.",
		[]string{"table", "requests", "site"}, []string{"engine-crash"}},
	{"engine-answers", "An engine's answers come late, twice, crossed, cut short or not at all.",
		[]string{"requests", "site"}, []string{"engine-reset", "engine-cross"}},
	{"router-death", "A router dies, hangs or makes a planned stop while it serves.",
		[]string{"requests", "site"}, []string{"daemon-kill", "daemon-pause", "daemon-stop"}},
	{"answer-lost", "The router that keeps an answer dies before the request is sent again, and restarts with its disk or an empty one.",
		[]string{"requests", "site"}, nil},
	{"together", "Two failures happen together, or one happens twice in a row.",
		[]string{"table/silent-leader+slow-store", "site/silent-leader+slow-store", "table/second-loss+second-loss", "site/second-loss+second-loss"}, nil},
}

type scenariosCommand struct {
	session *session
	JSON    bool `long:"json" description:"print the list as JSON"`
}

// scenarioList is what the command prints as JSON.
type scenarioList struct {
	Failures  []failure               `json:"failures"`
	Scenarios []simulate.ScenarioInfo `json:"scenarios"`
}

// Execute implements go-flags.Commander.
func (c *scenariosCommand) Execute([]string) error {
	list := scenarioList{Failures: failures, Scenarios: simulate.Scenarios()}
	if c.JSON {
		return c.session.printJSON(list)
	}
	out := c.session.Output
	fmt.Fprintln(out, "Failures, and how to reproduce them:")
	for _, entry := range list.Failures {
		fmt.Fprintf(out, "%-18s %s\n", entry.Name, entry.Sentence)
		fmt.Fprintf(out, "%-18s simulate: %s; fleet: %s\n", "", namesOrNone(entry.Simulate), namesOrNone(entry.Fleet))
	}
	fmt.Fprintln(out, "\nScenarios of the simulator:")
	for _, known := range list.Scenarios {
		fmt.Fprintf(out, "%s: %s\n", known.Name, known.Sentence)
		for _, plan := range known.Plans {
			fmt.Fprintf(out, "  %s/%s: %s\n", known.Name, plan.Name, plan.Sentence)
		}
	}
	fmt.Fprintln(out, "Plans can be combined, as in table/slow-store+reclaimed, and repeated, as in table/second-loss+second-loss.")
	return nil
}

func namesOrNone(names []string) string {
	if len(names) == 0 {
		return "not yet"
	}
	return strings.Join(names, ", ")
}
