package labcommand

import (
	"strings"

	"github.com/lotusferry/lotusferry/config"
	"github.com/lotusferry/lotusferry/kit/lab"
	"github.com/lotusferry/lotusferry/structs"
)

const gibibyte = int64(1) << 30

type platformCommand struct {
	session   *session
	Config    string `long:"config" required:"true" value-name:"FILE" description:"settings file of a daemon of the site, for the zones and the machine list address"`
	Runners   int    `long:"runners" default:"2" description:"number of runners per zone"`
	Role      string `long:"role" default:"answers" description:"role of the runners, as named in the rows of the table"`
	MemoryGiB int64  `long:"memory-gib" default:"48" description:"accelerator memory per runner in GiB"`
	Seed      uint64 `long:"seed" default:"1" description:"random seed of the stand-ins"`
}

// Execute implements go-flags.Commander. It runs until interrupted.
func (c *platformCommand) Execute([]string) error {
	site, err := config.ReadSite(c.Config)
	if err != nil {
		return err
	}
	return lab.ServePlatform(c.session.ctx, c.session.logger, lab.PlatformOptions{
		Zones:          site.ZoneIDs(),
		MachineList:    strings.TrimPrefix(site.MachineList, "http://"),
		RunnersPerZone: c.Runners,
		Role:           structs.RunnerRole(c.Role),
		MemoryBytes:    c.MemoryGiB * gibibyte,
		Seed:           c.Seed,
	}, c.session.Output)
}
