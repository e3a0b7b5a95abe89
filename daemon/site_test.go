package daemon

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-kit/log"
	"github.com/google/uuid"
	"go.uber.org/goleak"

	"github.com/lotusferry/lotusferry/agreement/leadercall"
	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

const (
	// siteTestLimit aborts a test that does not make progress.
	siteTestLimit = 5 * time.Minute
	// siteTickInterval and siteElectionTicks give an election timeout of 600 ms, so
	// that shorter stalls of the machine cause no election.
	siteTickInterval  = 10 * time.Millisecond
	siteElectionTicks = 60
)

// testSite is a site of one zone whose daemons run in this process.
type testSite struct {
	c        *qt.C
	ctx      context.Context
	network  network.Network
	random   func() uint64
	settings []config.Config
	running  map[structs.DaemonID]*Daemon
}

// testAddress returns an address for a daemon's transport.
func (s *testSite) testAddress() string { return testIP(s.network) + ":7103" }

func newTestSite(c *qt.C, daemons int) *testSite {
	return newTestSiteOver(newSiteNetwork(c.TB), c, daemons)
}

// newTestSiteOver returns a site on a network; nil means TCP.
func newTestSiteOver(over network.Network, c *qt.C, daemons int) *testSite {
	ctx, cancel := context.WithTimeout(context.Background(), siteTestLimit)
	c.Cleanup(cancel)
	s := &testSite{c: c, ctx: ctx, network: over, random: newSiteRandom(c.TB), running: map[structs.DaemonID]*Daemon{}}
	shared := config.Site{
		Name:            "test",
		Objective:       structs.ObjectiveLatency,
		Zones:           []config.Zone{{ID: "north", Weight: 100}},
		MachineList:     "http://127.0.0.1:1",
		StoreConcurrent: 1,
	}
	for i := range daemons {
		member := config.Member{Daemon: structs.DaemonID(fmt.Sprintf("north-%d", i)), Address: s.testAddress()}
		shared.Zones[0].Controllers = append(shared.Zones[0].Controllers, member)
	}
	shared.GlobalVoters = shared.Zones[0].Controllers
	for _, member := range shared.GlobalVoters {
		settings := config.Default()
		settings.Daemon = member.Daemon
		settings.Zone = "north"
		settings.DataFolder = c.TempDir()
		settings.Development = true
		settings.Bootstrap = true
		settings.Roles = []config.Role{config.RoleController}
		settings.Listen.Internal = member.Address
		settings.Site = shared
		settings.Timing.TickInterval = siteTickInterval
		settings.Timing.ElectionTicks = siteElectionTicks
		s.settings = append(s.settings, settings)
	}
	c.Cleanup(s.stopAll)
	return s
}

func (s *testSite) start(indexes ...int) {
	for _, index := range indexes {
		started, err := s.newDaemon(index)
		s.c.Assert(err, qt.IsNil)
		started.Start()
		s.running[s.settings[index].Daemon] = started
	}
}

// newDaemon opens a daemon on the site's network.
func (s *testSite) newDaemon(index int) (*Daemon, error) {
	return newDaemon(log.NewNopLogger(), s.settings[index], s.options())
}

// options returns the options of a daemon on the site's network.
func (s *testSite) options() options {
	return options{limits: defaultHTTPLimits(), network: s.network, random: s.random}
}

// kill closes a daemon without transferring its leadership.
func (s *testSite) kill(index int) {
	id := s.settings[index].Daemon
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	s.running[id].Close(ctx)
	delete(s.running, id)
}

// loseDisk closes a daemon and deletes the files in its data directory.
func (s *testSite) loseDisk(index int) {
	if s.running[s.settings[index].Daemon] != nil {
		s.kill(index)
	}
	files, err := filepath.Glob(filepath.Join(s.settings[index].DataFolder, "*"))
	s.c.Assert(err, qt.IsNil)
	for _, file := range files {
		s.c.Assert(os.Remove(file), qt.IsNil)
	}
}

func (s *testSite) stopAll() {
	for index := range s.settings {
		if s.running[s.settings[index].Daemon] != nil {
			s.kill(index)
		}
	}
}

func (s *testSite) operators() *operatorService {
	for _, running := range s.running {
		return running.operators
	}
	s.c.Fatal("no daemon runs")
	return nil
}

// edit applies an edit of one row, retrying until it is accepted.
func (s *testSite) edit(name string) {
	edit := structs.Edit{
		ID:     structs.EditID(uuid.NewString()),
		Author: "test",
		Changes: []structs.RowChange{{Row: structs.Row{
			Name: structs.RowName(name), Kind: structs.RowModel, Weight: 1, MaxReplicas: 1, MemoryBytes: 1, Role: "answers",
		}}},
	}
	for {
		result, err := s.operators().Apply(s.ctx, edit, false)
		if err == nil {
			s.c.Assert(result.Accepted, qt.IsTrue, qt.Commentf("%+v", result))
			return
		}
		s.c.Assert(s.ctx.Err(), qt.IsNil, qt.Commentf("%v", err))
	}
}

func (s *testSite) rows() []structs.RowName {
	view, err := s.operators().Table(s.ctx)
	s.c.Assert(err, qt.IsNil)
	var names []structs.RowName
	for _, row := range view.Rows {
		names = append(names, row.Name)
	}
	return names
}

// await polls the leader of the global group until done reports true of its membership.
func (s *testSite) await(what string, done func(operatorapi.GroupMembers) bool) operatorapi.GroupMembers {
	var last operatorapi.GroupMembers
	for s.ctx.Err() == nil {
		last = s.operators().groupMembers(s.ctx, globalGroupName)
		if done(last) {
			return last
		}
		pause.For(s.ctx, leadercall.RetryDelay)
	}
	for id, running := range s.running {
		s.c.Logf("%s: %+v", id, running.global.group.Status())
	}
	s.c.Fatalf("%s did not come about: %+v", what, last)
	return last
}

// allVotersActive reports whether all daemons of the site are active voters.
func (s *testSite) allVotersActive(members operatorapi.GroupMembers) bool {
	voters := map[structs.DaemonID]bool{}
	for _, member := range members.Members {
		if !member.Voter || !member.Active {
			return false
		}
		voters[member.Daemon] = true
	}
	return len(voters) == len(s.settings) && len(members.Members) == len(s.settings)
}

// allVotersActiveWithout returns a condition like allVotersActive that also requires
// the lost node to have been removed.
func (s *testSite) allVotersActiveWithout(lost uint64) func(operatorapi.GroupMembers) bool {
	return func(members operatorapi.GroupMembers) bool {
		for _, member := range members.Members {
			if member.Node == lost {
				return false
			}
		}
		return s.allVotersActive(members)
	}
}

func nodeOf(members operatorapi.GroupMembers, daemon structs.DaemonID) uint64 {
	for _, member := range members.Members {
		if member.Daemon == daemon {
			return member.Node
		}
	}
	return 0
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func truncateHalf(c *qt.C, path string) {
	info, err := os.Stat(path)
	c.Assert(err, qt.IsNil)
	c.Assert(os.Truncate(path, info.Size()/2), qt.IsNil)
}
