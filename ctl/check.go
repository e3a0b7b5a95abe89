package ctl

import (
	stderrors "errors"
	"fmt"

	"github.com/lotusferry/lotusferry/config"
)

type checkCommand struct {
	invocation *invocation
	Config     string       `long:"config" required:"yes" description:"settings file of the daemon" value-name:"FILE"`
	Override   config.Flags `group:"Overrides, as lotusferry takes them" namespace:"set"`
}

// checkOutput is the result of a check as --json shows it.
type checkOutput struct {
	OK       bool             `json:"ok"`
	Problems []config.Problem `json:"problems"`
}

// Execute loads the settings as the daemon would and prints every problem.
func (c *checkCommand) Execute([]string) error {
	loaded, err := config.Load(c.Config, c.Override)
	var invalid *config.InvalidError
	if err != nil && !stderrors.As(err, &invalid) {
		return err
	}
	result := checkOutput{OK: err == nil}
	if err != nil {
		result.Problems = invalid.Problems
	} else {
		result.Problems = loaded.Check()
	}
	if err := c.print(result); err != nil {
		return err
	}
	if !result.OK {
		return &exitError{code: ExitRefused}
	}
	return nil
}

func (c *checkCommand) print(result checkOutput) error {
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
