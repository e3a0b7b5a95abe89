package labcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

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
	violated := false
	for _, seed := range c.seeds() {
		folder, err := makeSoakFolder(c.Folder)
		if err != nil {
			return err
		}
		report, err := soak.Run(c.session.ctx, soak.Options{
			Binary: c.Binary, Folder: folder, Seed: seed, Duration: c.For, Lane: c.Lane, Routers: c.Routers, Phase: c.Phase,
			Log: func(format string, arguments ...any) {
				fmt.Fprintf(c.session.Errors, format+"\n", arguments...)
			},
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

// seeds returns the seeds to run.
func (c *soakCommand) seeds() []uint64 {
	var seeds []uint64
	if c.Again {
		for _, each := range soak.Regressions {
			seeds = append(seeds, each.Seed)
		}
		return seeds
	}
	for offset := range c.Seeds {
		seeds = append(seeds, c.Seed+uint64(offset))
	}
	return seeds
}

// makeSoakFolder creates the folder of a run, a temporary one if none is given.
func makeSoakFolder(chosen string) (string, error) {
	if chosen != "" {
		return chosen, errors.Wrap(os.MkdirAll(chosen, 0o700), "create folder")
	}
	folder, err := os.MkdirTemp("", "lotusferry-soak-")
	return folder, errors.Wrap(err, "create folder")
}
