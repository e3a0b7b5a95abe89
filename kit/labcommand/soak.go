package labcommand

import (
	"time"

	"github.com/lotusferry/lotusferry/platform/soak"
)

// soakCommand runs the roles of the user platform as processes under injected faults.
type soakCommand struct {
	session *session

	Binary  string        `long:"binary" value-name:"FILE" default:"bin/lotusferry" description:"the program under test"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the faults"`
	Seeds   int           `long:"seeds" default:"1" description:"number of consecutive seeds"`
	For     time.Duration `long:"for" default:"60s" description:"duration of fault injection for each seed"`
	Again   bool          `long:"regressions" description:"run the seeds of earlier failures instead"`
	Lane    int           `long:"lane" default:"0" description:"second byte of the loopback addresses; must differ between concurrent soaks"`
	Routers int           `long:"routers" default:"3" description:"number of routers"`
	Phase   string        `long:"phase" value-name:"NAME" description:"the only check after the faults besides that of the recovery; all by default"`
	Folder  string        `long:"folder" value-name:"DIR" description:"folder for settings, data and logs; a new temporary folder by default"`
}

// Execute implements go-flags.Commander.
func (c *soakCommand) Execute([]string) error {
	return c.session.runSeeds(c.seeds(), c.Folder, func(seed uint64, folder string) (any, int, error) {
		report, err := soak.Run(c.session.ctx, soak.Options{
			Binary: c.Binary, Folder: folder, Seed: seed, Duration: c.For, Lane: c.Lane, Routers: c.Routers, Phase: c.Phase, Log: c.session.logf,
		})
		if err != nil {
			return nil, 0, err
		}
		return report, report.ViolationCount, nil
	})
}

// seeds returns the seeds to run.
func (c *soakCommand) seeds() []uint64 {
	var seeds []uint64
	if c.Again {
		for _, each := range soak.Regressions {
			seeds = append(seeds, each.Seed)
		}
		return seeds
	}
	return consecutiveSeeds(c.Seed, c.Seeds)
}
