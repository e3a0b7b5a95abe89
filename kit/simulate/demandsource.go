package simulate

import (
	"math/rand/v2"

	"github.com/lotusferry/lotusferry/structs"
)

// maxWaiting bounds the requests that wait for one row in a zone.
const maxWaiting = 16

// demandSource simulates the routers of a zone by reporting demand that changes at
// random.
type demandSource struct {
	site    *tableSite
	random  *rand.Rand
	zone    structs.ZoneID
	waiting map[structs.RowName]int
}

func newDemandSource(site *tableSite, random *rand.Rand, zone structs.ZoneID) *demandSource {
	source := &demandSource{site: site, random: random, zone: zone, waiting: map[structs.RowName]int{}}
	for _, row := range simulatedRows {
		source.change(row)
	}
	source.report()
	return source
}

func (s *demandSource) address() Address { return Address(string(s.zone) + "/router") }

// change draws a new demand for the row, zero in half of the cases.
func (s *demandSource) change(row structs.RowName) {
	s.waiting[row] = 0
	if s.random.IntN(2) == 0 {
		s.waiting[row] = 1 + s.random.IntN(maxWaiting)
	}
}

func (s *demandSource) report() {
	if !s.site.quiet && s.random.IntN(3) == 0 {
		s.change(simulatedRows[s.random.IntN(len(simulatedRows))])
	}
	report := structs.DemandReport{Daemon: structs.DaemonID(s.address())}
	for _, row := range simulatedRows {
		if waiting := s.waiting[row]; waiting > 0 {
			report.Rows = append(report.Rows, structs.RowDemand{
				Row: row, Waiting: waiting, Arrived: 1, Highest: structs.PriorityStandard,
			})
		}
	}
	for _, d := range s.site.daemons {
		if d.machine.Zone == s.zone {
			s.site.network.Send(s.address(), d.machine.Address, demandMessage{report})
		}
	}
	s.site.scheduler.After(s.site.pace.demand, s.report)
}
