package labcommand

import (
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/platform/soak"
)

// soakCommand runs the roles of the users' platform as processes under faults.
type soakCommand struct {
	session *session

	Binary  string        `long:"binary" value-name:"FILE" default:"bin/lotusferry" description:"the program under test"`
	Seed    uint64        `long:"seed" default:"1" description:"seed of the faults"`
	Seeds   int           `long:"seeds" default:"1" description:"how many seeds to run, one after the other"`
	For     time.Duration `long:"for" default:"60s" description:"how long faults are injected with each seed"`
	Again   bool          `long:"regressions" description:"run the seeds that ever failed instead"`
	Lane    int           `long:"lane" default:"0" description:"second byte of the loopback addresses; soaks at the same time need different ones"`
	Routers int           `long:"routers" default:"3" description:"how many routers to run"`
	Folder  string        `long:"folder" value-name:"DIR" description:"where settings, data and logs go; a new one by default"`
}

// Execute implements flags.Commander.
func (c *soakCommand) Execute([]string) error {
	violated := false
	for _, seed := range c.seeds() {
		folder, err := c.folderOf()
		if err != nil {
			return err
		}
		report, err := soak.Run(c.session.ctx, soak.Options{
			Binary: c.Binary, Folder: folder, Seed: seed, Duration: c.For, Lane: c.Lane, Routers: c.Routers,
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

// seeds lists the seeds to run.
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

func (c *soakCommand) folderOf() (string, error) {
	if c.Folder != "" {
		return c.Folder, errors.Wrap(os.MkdirAll(c.Folder, 0o700), "make folder")
	}
	folder, err := os.MkdirTemp("", "lotusferry-soak-")
	return folder, errors.Wrap(err, "make folder")
}
