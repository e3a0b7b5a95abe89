package hollow

import (
	"fmt"
	"runtime"
	"time"

	"github.com/lotusferry/lotusferry/internal/option"
	"github.com/lotusferry/lotusferry/structs"
)

// Options give the size of a site and of its run. A zero field means its default,
// which is the size designed for.
type Options struct {
	Regions  int
	Zones    int
	Daemons  int
	Controls int
	// GlobalVoters is the number of members of the global group, each in another region.
	GlobalVoters int
	// ZoneVoters is the number of members of each zone's group: the zone's control
	// machines, filled up with routers of the zone.
	ZoneVoters            int
	Runners               int
	AcceleratorsPerRunner int
	Models                int
	Adapters              int

	// Duration is the virtual time under load, after the bootstrap.
	Duration time.Duration
	// RealLimit ends the load early when so much real time has passed.
	RealLimit time.Duration
	// Share is the part of the peak rates of requests that is carried.
	Share float64
	// KeyedShare is the part of the requests that carries an idempotency key.
	KeyedShare float64
	// PeakRequests is the site's peak rate a second, LoadsPerHour the rate of
	// requests for rows that are not loaded, EditsPerDay that of edits. The last
	// two are carried whole. The defaults of the first two follow the runners.
	PeakRequests float64
	LoadsPerHour float64
	EditsPerDay  float64
	// BurstEdits are sent at once, half way through.
	BurstEdits int
	// FullTableRouters is the number of routers of each zone that keep the whole
	// table in memory; the others keep the rows that are in use. All are sent all of it.
	FullTableRouters int
	// MemoryBytes is what the process should stay under.
	MemoryBytes int64
	Workers     int
	Seed        uint64
}

// The size designed for.
const (
	defaultRegions      = 9
	defaultZones        = 24
	defaultDaemons      = 830
	defaultControls     = 36
	defaultGlobalVoters = 5
	defaultZoneVoters   = 3
	defaultRunners      = 10_000
	defaultAccelerators = 8
	defaultModels       = 250
	defaultAdapters     = 58_000
	defaultDuration     = 60 * time.Second
	defaultRealLimit    = 4 * time.Minute
	defaultShare        = 0.05
	defaultKeyedShare   = 0.05
	defaultPeakRequests = 63_000
	defaultLoadsPerHour = 7_300
	defaultEditsPerDay  = 14_000
	defaultBurstEdits   = 100
	defaultFullRouters  = 2
	defaultMemory       = 15 << 30
)

func (o Options) withDefaults() Options {
	option.Default(&o.Regions, defaultRegions)
	option.Default(&o.Zones, defaultZones)
	option.Default(&o.Daemons, defaultDaemons)
	option.Default(&o.Controls, defaultControls)
	option.Default(&o.GlobalVoters, min(defaultGlobalVoters, o.Zones-1+o.Zones%2))
	option.Default(&o.ZoneVoters, defaultZoneVoters)
	option.Default(&o.Runners, defaultRunners)
	option.Default(&o.AcceleratorsPerRunner, defaultAccelerators)
	option.Default(&o.Models, defaultModels)
	option.Default(&o.Adapters, defaultAdapters)
	option.Default(&o.Duration, defaultDuration)
	option.Default(&o.RealLimit, defaultRealLimit)
	option.Default(&o.Share, defaultShare)
	option.Default(&o.KeyedShare, defaultKeyedShare)
	part := float64(o.Runners) / defaultRunners
	option.Default(&o.PeakRequests, defaultPeakRequests*part)
	option.Default(&o.LoadsPerHour, defaultLoadsPerHour*part)
	option.Default(&o.EditsPerDay, defaultEditsPerDay)
	option.Default(&o.BurstEdits, defaultBurstEdits)
	option.Default(&o.FullTableRouters, defaultFullRouters)
	option.Default(&o.MemoryBytes, defaultMemory)
	option.Default(&o.Workers, max(1, runtime.NumCPU()/2))
	option.Default(&o.Seed, 1)
	return o
}

// check returns an error of kind invalid for a site that cannot be laid out.
func (o Options) check() error {
	switch {
	case o.Zones < 2 || o.Regions < 1 || o.Regions > o.Zones:
		return invalid("a hollow site needs at least two zones and at most as many regions")
	case o.Controls < o.Zones || o.Daemons < o.Controls+o.Zones*o.ZoneVoters:
		return invalid("each zone needs a control machine and routers enough to fill up its group")
	case o.GlobalVoters > o.Zones:
		return invalid(fmt.Sprintf("%d global voters do not fit %d zones", o.GlobalVoters, o.Zones))
	case o.Runners < o.Zones || o.Models < 1:
		return invalid("each zone needs a runner, and the table a model")
	case o.Share < 0 || o.Share > 1 || o.KeyedShare < 0 || o.KeyedShare > 1:
		return invalid("shares run from 0 to 1")
	}
	return nil
}

func invalid(message string) error {
	return structs.NewError(structs.ErrorInvalid, message, "Change the options of the run.")
}
