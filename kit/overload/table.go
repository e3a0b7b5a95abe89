package overload

import (
	"fmt"
	"io"
	"strings"
)

// shownViolations is the maximum number of violations that WriteTable prints.
const shownViolations = 10

// WriteTable writes the report as Markdown, with a table for each scenario, a row for
// each figure and a column for each policy. Parentheses give the range over the seeds.
func (r *Report) WriteTable(out io.Writer) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Seeds %d to %d, %d requests, %d violations. Capacity %s answers a second.\n",
		r.Seed, r.Seed+uint64(r.Seeds)-1, r.Requests, len(r.Violations), r.Capacity)
	for index, violation := range r.Violations {
		if index == shownViolations {
			fmt.Fprintf(&text, "and %d more\n", len(r.Violations)-index)
			break
		}
		fmt.Fprintf(&text, "violation of %q: %s, seed %d, %s, %s: %s\n", violation.Rule,
			violation.Scenario, violation.Seed, violation.Policy, violation.Request, violation.Detail)
	}
	for first := 0; first < len(r.Scenarios); {
		last := first
		for last < len(r.Scenarios) && r.Scenarios[last].Scenario == r.Scenarios[first].Scenario {
			last++
		}
		writeScenario(&text, r.Scenarios[first:last])
		first = last
	}
	_, err := io.WriteString(out, text.String())
	return err
}

func writeScenario(text *strings.Builder, policies []ScenarioReport) {
	fmt.Fprintf(text, "\n| %s |", policies[0].Scenario)
	for _, policy := range policies {
		fmt.Fprintf(text, " %s |", policy.Policy)
	}
	text.WriteString("\n| --- |" + strings.Repeat(" --- |", len(policies)) + "\n")
	for _, name := range figureNames(policies) {
		fmt.Fprintf(text, "| %s |", name)
		for _, policy := range policies {
			cell := "-"
			if figure, measured := policy.Find(name); measured {
				cell = figure.String()
			}
			fmt.Fprintf(text, " %s |", cell)
		}
		text.WriteString("\n")
	}
}

// figureNames returns the distinct figure names of all policies in order of first
// appearance.
func figureNames(policies []ScenarioReport) []string {
	var names []string
	seen := map[string]bool{}
	for _, policy := range policies {
		for _, figure := range policy.Figures {
			if !seen[figure.Name] {
				seen[figure.Name] = true
				names = append(names, figure.Name)
			}
		}
	}
	return names
}

// String returns the mean, with the range in parentheses if it is not a single value.
func (f Figure) String() string {
	if f.Lowest == f.Highest {
		return fmt.Sprintf("%.3g", f.Mean)
	}
	return fmt.Sprintf("%.3g (%.3g to %.3g)", f.Mean, f.Lowest, f.Highest)
}
