package labcommand

import (
	"time"

	"github.com/lotusferry/lotusferry/platform/soak"
)

// releaseCommand replaces the runners of streams by those of new software versions while all routers are killed at once, and checks
// that streams that are taken up keep to their version.
type releaseCommand struct {
	session *session

	Binary  string        `long:"binary" value-name:"FILE" default:"bin/lotusferry" description:"the program under test"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the releases"`
	Seeds   int           `long:"seeds" default:"1" description:"number of consecutive seeds"`
	For     time.Duration `long:"for" default:"20s" description:"time in which releases begin, for each seed"`
	Lane    int           `long:"lane" default:"0" description:"second byte of the loopback addresses; must differ between concurrent runs"`
	Routers int           `long:"routers" default:"3" description:"number of routers"`
	Callers int           `long:"callers" default:"20" description:"number of callers with streams"`
	Folder  string        `long:"folder" value-name:"DIR" description:"folder for settings, data and logs; a new temporary folder by default"`
}

// Execute implements go-flags.Commander.
func (c *releaseCommand) Execute([]string) error {
	return c.session.runSeeds(consecutiveSeeds(c.Seed, c.Seeds), c.Folder, func(seed uint64, folder string) (any, int, error) {
		report, err := soak.RunReleases(c.session.ctx, soak.ReleaseOptions{
			Binary: c.Binary, Folder: folder, Seed: seed, Duration: c.For, Lane: c.Lane, Routers: c.Routers, Callers: c.Callers, Log: c.session.logf,
		})
		if err != nil {
			return nil, 0, err
		}
		return report, report.ViolationCount, nil
	})
}
