package lab

import (
	"fmt"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	kibibyte = int64(1) << 10
	gibibyte = kibibyte * kibibyte * kibibyte
)

// Site describes a site to rehearse.
type Site struct {
	Name      string
	Objective structs.Objective
	Zones     []SiteZone
	// StoreLoadsPerSecond and StoreConcurrent are the weight store's limits.
	StoreLoadsPerSecond float64
	StoreConcurrent     int
	Rows                []structs.Row
}

// SiteZone is one zone of a site.
type SiteZone struct {
	ID      structs.ZoneID
	Daemons int
	Runners []RunnerSet
}

// RunnerSet describes a number of identical runners.
type RunnerSet struct {
	Role         structs.RunnerRole
	Count        int
	MemoryBytes  int64
	Accelerators int
}

// Roles of the runners in the rehearsed sites.
const (
	roleAnswers   structs.RunnerRole = "answers"
	roleSearch    structs.RunnerRole = "search"
	roleSummaries structs.RunnerRole = "summaries"
	roleRecords   structs.RunnerRole = "records"
)

const (
	runnerMemory       = 48 * gibibyte
	runnerAccelerators = 2
	daemonsPerZone     = 3
)

// DemoSite returns a small site of two zones for the demonstration.
func DemoSite() Site {
	return Site{
		Name:                "demo",
		Objective:           structs.ObjectiveLatency,
		StoreLoadsPerSecond: 4,
		StoreConcurrent:     8,
		Zones: []SiteZone{
			{ID: "north", Daemons: daemonsPerZone, Runners: runners(roleAnswers, 2)},
			{ID: "south", Daemons: daemonsPerZone, Runners: runners(roleAnswers, 2)},
		},
		Rows: []structs.Row{
			modelRow("explain-7b", roleAnswers, 16, 2, structs.PriorityLive),
			modelRow("review-13b", roleAnswers, 28, 2, structs.PriorityBatch),
			adapterRow("explain-7b/cobol", "explain-7b", roleAnswers, 2),
		},
	}
}

// PadanoSite returns a site of the size of Consorzio Padano: 3 zones, 9 runners for
// answers and 3 for search, 50 models and 60 adapters.
func PadanoSite() Site {
	site := Site{
		Name:                "padano",
		Objective:           structs.ObjectiveLatency,
		StoreLoadsPerSecond: 2,
		StoreConcurrent:     8,
	}
	for _, zone := range []structs.ZoneID{"sala-a", "sala-b", "sala-c"} {
		sets := append(runners(roleAnswers, 3), runners(roleSearch, 1)...)
		site.Zones = append(site.Zones, SiteZone{ID: zone, Daemons: daemonsPerZone, Runners: sets})
	}
	site.Rows = generateRows(rowCounts{models: 40, secondModels: 10, adapters: 60}, roleAnswers, roleSearch)
	return site
}

// MeknesSite returns a site of the size of the Meknes growers' association: 4 zones, 12
// runners for summaries and 4 for records, 65 models and 75 adapters.
func MeknesSite() Site {
	site := Site{
		Name:                "meknes",
		Objective:           structs.ObjectiveIdle,
		StoreLoadsPerSecond: 3,
		StoreConcurrent:     11,
	}
	for _, zone := range []structs.ZoneID{"meknes-a", "meknes-b", "elhajeb", "boufakrane"} {
		sets := append(runners(roleSummaries, 3), runners(roleRecords, 1)...)
		site.Zones = append(site.Zones, SiteZone{ID: zone, Daemons: daemonsPerZone, Runners: sets})
	}
	site.Rows = generateRows(rowCounts{models: 50, secondModels: 15, adapters: 75}, roleSummaries, roleRecords)
	return site
}

// SiteByName returns the site with the given name.
func SiteByName(name string) (Site, error) {
	for _, site := range []Site{DemoSite(), PadanoSite(), MeknesSite()} {
		if site.Name == name {
			return site, nil
		}
	}
	return Site{}, structs.NewError(structs.ErrorInvalid, "there is no site "+name, "Choose demo, padano or meknes.")
}

func runners(role structs.RunnerRole, count int) []RunnerSet {
	return []RunnerSet{{Role: role, Count: count, MemoryBytes: runnerMemory, Accelerators: runnerAccelerators}}
}

type rowCounts struct {
	models, secondModels, adapters int
}

// modelSizes are the sizes of generated models in GiB, used cyclically.
var modelSizes = []int64{8, 14, 16, 20, 26}

// generateRows returns models of the first and the second role, and adapters distributed
// over the first models of the first role.
func generateRows(counts rowCounts, first, second structs.RunnerRole) []structs.Row {
	var rows []structs.Row
	for i := range counts.models {
		rows = append(rows, modelRow(fmt.Sprintf("%s-%02d", first, i), first, modelSizes[i%len(modelSizes)], 1+i%3, structs.PriorityLive))
	}
	for i := range counts.secondModels {
		rows = append(rows, modelRow(fmt.Sprintf("%s-%02d", second, i), second, modelSizes[i%2], 1+i%2, structs.PriorityLive))
	}
	const adapterBases = 10
	for i := range counts.adapters {
		base := structs.RowName(fmt.Sprintf("%s-%02d", first, i%adapterBases))
		rows = append(rows, adapterRow(fmt.Sprintf("%s/member-%02d", base, i), base, first, 1+i%2))
	}
	return rows
}

func modelRow(name string, role structs.RunnerRole, gigabytes int64, maxReplicas int, priority structs.Priority) structs.Row {
	return structs.Row{
		Name:        structs.RowName(name),
		Kind:        structs.RowModel,
		Weight:      100,
		Priority:    priority,
		MaxReplicas: maxReplicas,
		MemoryBytes: gigabytes * gibibyte,
		Role:        role,
	}
}

// adapterMemory is the accelerator memory of a generated adapter in bytes.
const adapterMemory = gibibyte / 4

func adapterRow(name string, base structs.RowName, role structs.RunnerRole, maxReplicas int) structs.Row {
	return structs.Row{
		Name:        structs.RowName(name),
		Kind:        structs.RowAdapter,
		Base:        base,
		Weight:      100,
		Priority:    structs.PriorityLive,
		MaxReplicas: maxReplicas,
		MemoryBytes: adapterMemory,
		Role:        role,
	}
}
