package relay

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/placement/fleet"
	"github.com/lotusferry/lotusferry/placement/pace"
	"github.com/lotusferry/lotusferry/placement/residency"
	"github.com/lotusferry/lotusferry/structs"
)

// rowSeparator separates the parts of a row's name; no part contains it.
const rowSeparator = "\x00"

// rowName returns the name of a row in the balancer.
func rowName(row residency.Row) structs.RowName {
	return structs.RowName(row.Service + rowSeparator + row.Model + rowSeparator + row.Adapter)
}

// addPlacement adds a runner and its replicas: one for the service, and one for each model and
// adapter that it holds.
func addPlacement(placed *structs.Placement, runner *fleet.Runner) {
	id := structs.RunnerID(runner.Instance)
	placed.Runners = append(placed.Runners, structs.RunnerInfo{
		ID: id, Zone: structs.ZoneID(runner.Zone), Address: runner.Address, Leaving: runner.Leaving, Version: runner.Version,
	})
	for _, row := range rowsOf(*runner) {
		placed.Replicas = append(placed.Replicas, structs.Replica{Row: rowName(row), Runner: id, State: structs.ReplicaReady})
	}
}

// These are assumed for a runner whose speed is not known yet: prompt tokens read per second, and
// the time between events of a stream.
const (
	defaultPromptRate = 30000
	defaultEventTime  = 40 * time.Millisecond
)

// paceOf returns the speed of a runner, with defaults for unknown values. A runner without models
// reads no prompts.
func paceOf(runner fleet.Runner) pace.Runner {
	known := runner.Pace
	if known.Slowness <= 0 {
		known.Slowness = 1
	}
	if len(runner.Models) == 0 {
		return pace.Runner{Slowness: known.Slowness}
	}
	if known.PromptRate <= 0 {
		known.PromptRate = defaultPromptRate / known.Slowness
	}
	if known.Event <= 0 {
		known.Event = time.Duration(float64(defaultEventTime) * known.Slowness)
	}
	return known
}

func rowsOf(runner fleet.Runner) []residency.Row {
	rows := []residency.Row{{Service: runner.Service}}
	for _, model := range runner.Models {
		rows = append(rows, residency.Row{Service: runner.Service, Model: model.Name})
		for _, adapter := range model.Adapters {
			rows = append(rows, residency.Row{Service: runner.Service, Model: model.Name, Adapter: adapter})
		}
	}
	return rows
}

// prefixHashes returns one hash for each prefix of the prompt's parts. Cached prefixes are valid
// for one model and adapter only.
func prefixHashes(row residency.Row, parts []string) []uint64 {
	if len(parts) == 0 {
		return nil
	}
	hashes := make([]uint64, 0, len(parts))
	var prefix strings.Builder
	prefix.WriteString(string(rowName(row)))
	for _, part := range parts {
		prefix.WriteString(rowSeparator)
		prefix.WriteString(part)
		hashes = append(hashes, xxhash.Sum64String(prefix.String()))
	}
	return hashes
}

// without returns an update that removes a row from a runner. The update reports false if the
// runner is to be removed.
func without(row residency.Row) func(*fleet.Runner) bool {
	return func(runner *fleet.Runner) bool {
		if row.Model == "" {
			return false
		}
		runner.Models = modelsWithout(runner.Models, row)
		return true
	}
}

func modelsWithout(models []fleet.LoadedModel, row residency.Row) []fleet.LoadedModel {
	var kept []fleet.LoadedModel
	for _, model := range models {
		if model.Name != row.Model {
			kept = append(kept, model)
			continue
		}
		if row.Adapter == "" {
			continue
		}
		model.Adapters = slices.DeleteFunc(slices.Clone(model.Adapters), func(name string) bool { return name == row.Adapter })
		kept = append(kept, model)
	}
	return kept
}
