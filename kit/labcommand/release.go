package labcommand

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/pkg/errors"

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
	violated := false
	for offset := range c.Seeds {
		folder, err := makeSoakFolder(c.Folder)
		if err != nil {
			return err
		}
		report, err := soak.RunReleases(c.session.ctx, soak.ReleaseOptions{
			Binary: c.Binary, Folder: folder, Seed: c.Seed + uint64(offset), Duration: c.For, Lane: c.Lane, Routers: c.Routers, Callers: c.Callers,
			Log: func(format string, arguments ...any) { fmt.Fprintf(c.session.Errors, format+"\n", arguments...) },
		})
		if err != nil {
			return err
		}
		encoder := json.NewEncoder(c.session.Output)
		encoder.SetIndent("", "  ")
		if err := encoder.Encode(report); err != nil {
			return errors.Wrap(err, "print report")
		}
		fmt.Fprintln(c.session.Errors, "logs:", folder)
		violated = violated || report.ViolationCount > 0
	}
	if violated {
		return errViolation
	}
	return nil
}
