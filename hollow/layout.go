package hollow

import (
	"fmt"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// The one-way delays of messages. The shortest one between zones bounds a slice.
const (
	delayInZone   = 500 * time.Microsecond
	delayInRegion = 2 * time.Millisecond
	delayFar      = 40 * time.Millisecond
)

// answersRole is the role of all runners.
const answersRole structs.RunnerRole = "answers"

// The sizes of runners, models and adapters, in bytes.
const (
	acceleratorBytes = 80 << 30
	modelBaseBytes   = 16 << 30
	modelStepBytes   = 8 << 30
	modelSizes       = 8
	adapterBytes     = 200 << 20
)

// The limits in the table: a model may have four replicas a zone and keeps one,
// an adapter may have two in the site.
const (
	modelReplicasPerZone = 4
	adapterReplicas      = 2
)

// process is one hollow daemon.
type process struct {
	id        structs.DaemonID
	index     int
	zone      *zoneSite
	isControl bool
	alive     bool
	// life counts the restarts, so that answers to an earlier life are dropped.
	life    int
	traffic meter
	router  *routerNode
	member  *zoneMember
	global  *globalMember
}

// zoneSite is one zone: a partition with its daemons and runners.
type zoneSite struct {
	*partition
	site      *site
	id        structs.ZoneID
	region    int
	processes []*process
	// voters are the members of the zone's group, in the order of the settings.
	voters  []*process
	routers []*routerNode
	runners []*runnerNode
	byID    map[structs.RunnerID]*runnerNode
	box     zoneBox
	load    workload
}

// site is the whole hollow site.
type site struct {
	options   Options
	zones     []*zoneSite
	processes []*process
	globals   []*process
	cuts      []zoneCut
	operator  *operator
	rows      []structs.Row
	used      map[structs.RowName]bool
	clock     *clock
}

// newSite lays out zones, daemons and runners; nothing runs yet.
func newSite(options Options) (*site, error) {
	options = options.withDefaults()
	if err := options.check(); err != nil {
		return nil, err
	}
	s := &site{options: options, rows: makeRows(options)}
	s.used = rowsUsed(s.rows, options)
	var partitions []*partition
	for index := range options.Zones {
		zone := &zoneSite{
			partition: newPartition(index, options.Seed),
			site:      s,
			id:        structs.ZoneID(fmt.Sprintf("zone-%02d", index)),
			region:    index * options.Regions / options.Zones,
			byID:      map[structs.RunnerID]*runnerNode{},
		}
		s.zones = append(s.zones, zone)
		partitions = append(partitions, zone.partition)
	}
	s.layProcesses()
	s.layRunners()
	s.clock = newClock(partitions, delayInRegion, min(options.Workers, options.Zones))
	return s, nil
}

// layProcesses gives each zone its control machines, then its routers; the first
// machines of some zones carry the global group.
func (s *site) layProcesses() {
	for zone := range s.options.Controls {
		s.addProcess(s.zones[zone%len(s.zones)], true)
	}
	for index := range s.options.Daemons - s.options.Controls {
		s.addProcess(s.zones[index%len(s.zones)], false)
	}
	for _, zone := range s.zones {
		zone.voters = zone.processes[:s.options.ZoneVoters]
	}
	for voter := range s.options.GlobalVoters {
		zone := s.zones[voter*len(s.zones)/s.options.GlobalVoters]
		s.globals = append(s.globals, zone.processes[0])
	}
}

func (s *site) addProcess(zone *zoneSite, isControl bool) {
	added := &process{
		id:        structs.DaemonID(fmt.Sprintf("daemon-%03d", len(s.processes))),
		index:     len(s.processes),
		zone:      zone,
		isControl: isControl,
		alive:     true,
	}
	s.processes = append(s.processes, added)
	zone.processes = append(zone.processes, added)
}

func (s *site) layRunners() {
	for index := range s.options.Runners {
		zone := s.zones[index%len(s.zones)]
		zone.addRunner(index)
	}
}

func (s *site) zoneIDs() []structs.ZoneID {
	var ids []structs.ZoneID
	for _, zone := range s.zones {
		ids = append(ids, zone.id)
	}
	return ids
}

func (s *site) zoneByID(id structs.ZoneID) *zoneSite {
	for _, zone := range s.zones {
		if zone.id == id {
			return zone
		}
	}
	return nil
}

// makeRows makes the table: the models, then the adapters.
func makeRows(options Options) []structs.Row {
	rows := make([]structs.Row, 0, options.Models+options.Adapters)
	for index := range options.Models {
		rows = append(rows, structs.Row{
			Name:        modelName(index),
			Kind:        structs.RowModel,
			Weight:      1 + index%10,
			Priority:    structs.PriorityStandard,
			MinReplicas: options.Zones, // one in each zone
			MaxReplicas: modelReplicasPerZone * options.Zones,
			MemoryBytes: modelBaseBytes + int64(index%modelSizes)*modelStepBytes,
			Role:        answersRole,
		})
	}
	for index := range options.Adapters {
		base := modelName(index % options.Models)
		rows = append(rows, structs.Row{
			Name:        structs.RowName(fmt.Sprintf("%s/adapter-%05d", base, index)),
			Kind:        structs.RowAdapter,
			Base:        base,
			Weight:      1 + index%10,
			Priority:    structs.PriorityStandard,
			MaxReplicas: adapterReplicas,
			MemoryBytes: adapterBytes,
			Role:        answersRole,
		})
	}
	return rows
}

func modelName(index int) structs.RowName {
	return structs.RowName(fmt.Sprintf("model-%03d", index))
}
