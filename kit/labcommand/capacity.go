package labcommand

import (
	"context"
	"io"
	"time"

	"github.com/lotusferry/lotusferry/kit/capacity"
)

// capacityTimeout is the time limit for all measurements.
const capacityTimeout = 5 * time.Minute

type capacityCommand struct {
	session *session
	Role    string `long:"role" description:"measure this role only"`
	JSON    bool   `long:"json" description:"print the slopes as JSON"`
}

// Execute implements go-flags.Commander.
func (c *capacityCommand) Execute([]string) error {
	ctx, cancel := context.WithTimeout(c.session.ctx, capacityTimeout)
	defer cancel()
	progress := c.session.Output
	if c.JSON {
		progress = io.Discard
	}
	slopes, measureErr := capacity.Measure(ctx, c.Role, progress)
	if c.JSON && len(slopes) > 0 {
		// A run that timed out has partial results.
		if err := c.session.printJSON(slopes); err != nil {
			return err
		}
	}
	return measureErr
}
