package labcommand

import (
	"context"
	"io"
	"time"

	"github.com/lotusferry/lotusferry/capacity"
)

// capacityLimit bounds all measurements together.
const capacityLimit = 170 * time.Second

type capacityCommand struct {
	session *session
	Role    string `long:"role" description:"measure this role only"`
	JSON    bool   `long:"json" description:"print the slopes as JSON"`
}

// Execute implements go-flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.session.ctx, capacityLimit)
	defer cancel()
	progress := c.session.Output
	if c.JSON {
		progress = io.Discard
	}
	slopes, err := capacity.Measure(ctx, c.Role, progress)
	if err != nil {
		return err
	}
	if c.JSON {
		return c.session.printJSON(slopes)
	}
	return nil
}
