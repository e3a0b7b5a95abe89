package ctl

import (
	"fmt"

	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/structs"
)

// drainTarget holds the arguments of drain and undrain.
type drainTarget struct {
	Daemon     bool `long:"daemon" description:"NAME is a daemon, also if a runner is called so"`
	Positional struct {
		Name string `positional-arg-name:"NAME" description:"ID of a runner or of a daemon"`
	} `positional-args:"yes" required:"yes"`
}

type drainCommand struct {
	invocation *invocation
	drainTarget
	Cancel bool `long:"cancel" description:"end the drain, as undrain does"`
}

type undrainCommand struct {
	invocation *invocation
	drainTarget
}

// drainOutput is the JSON output of drain and undrain. Either Runner or Daemon is set.
type drainOutput struct {
	Runner   string `json:"runner,omitempty"`
	Daemon   string `json:"daemon,omitempty"`
	Draining bool   `json:"draining"`
}

// Execute starts or cancels a drain.
func (c *drainCommand) Execute([]string) error {
	return c.invocation.drain(c.drainTarget, c.Cancel)
}

// Execute cancels a drain.
func (c *undrainCommand) Execute([]string) error {
	return c.invocation.drain(c.drainTarget, true)
}

// drain starts or cancels the drain of the named runner, or of the named daemon if
// there is no such runner or --daemon is set.
func (s *invocation) drain(target drainTarget, cancel bool) error {
	service, ctx, done, err := s.service()
	if err != nil {
		return err
	}
	defer done()
	name := target.Positional.Name
	if !target.Daemon {
		err = service.Drain(ctx, operatorapi.DrainRequest{Runner: structs.RunnerID(name), Cancel: cancel})
		if err == nil {
			return s.printDrain("runner", drainOutput{Runner: name, Draining: !cancel})
		}
		if structs.KindOf(err) != structs.ErrorNotFound {
			return err
		}
	}
	if err := service.Drain(ctx, operatorapi.DrainRequest{Daemon: structs.DaemonID(name), Cancel: cancel}); err != nil {
		return err
	}
	return s.printDrain("daemon", drainOutput{Daemon: name, Draining: !cancel})
}

func (s *invocation) printDrain(what string, output drainOutput) error {
	if s.options.JSON {
		return s.printJSON(output)
	}
	state := "takes work again"
	if output.Draining {
		state = "is being drained"
	}
	fmt.Fprintf(s.Output, "%s %s %s\n", what, output.Runner+output.Daemon, state)
	return nil
}
