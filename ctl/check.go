package ctl

import (
	"fmt"

	"github.com/lotusferry/lotusferry/config"
)

type checkCommand struct {
	invocation *invocation
	Config     string       `long:"config" required:"yes" description:"settings file of the daemon" value-name:"FILE"`
	Override   config.Flags `group:"Overrides, as lotusferry takes them" namespace:"set"`
}

// Execute checks a settings file as the daemon does and prints all problems.
func (c *checkCommand) Execute([]string) error {
	result, err := config.CheckFile(c.Config, c.Override)
	if err != nil {
		return err
	}
	if err := c.print(result); err != nil {
		return err
	}
	if !result.OK {
		return &exitError{code: ExitRefused}
	}
	return nil
}

func (c *checkCommand) print(result config.CheckResult) error {
	if c.invocation.options.JSON {
		return c.invocation.printJSON(result)
	}
	if len(result.Problems) > 0 {
		var lines [][]string
		for _, problem := range result.Problems {
			level := "error"
			if problem.Warning {
				level = "warning"
			}
			lines = append(lines, []string{level, problem.Key, problem.Value, problem.Problem, problem.Remedy})
		}
		if err := c.invocation.printTable([]string{"LEVEL", "KEY", "VALUE", "PROBLEM", "REMEDY"}, lines); err != nil {
			return err
		}
	}
	if result.OK {
		fmt.Fprintf(c.invocation.Output, "%s can be used\n", c.Config)
	}
	return nil
}
