package ctl

import (
	"fmt"
	"io"
	"os"

	"github.com/lotusferry/lotusferry/request/explain"
	"github.com/lotusferry/lotusferry/structs"
)

type explainCommand struct {
	invocation *invocation
	Arguments  struct {
		Request string   `positional-arg-name:"REQUEST" description:"the request's ID" required:"yes"`
		Files   []string `positional-arg-name:"FILE" description:"logs of the processes; the input if none is named"`
	} `positional-args:"yes"`
}

// explainOutput is the JSON output of explain.
type explainOutput struct {
	explain.Account
	Read explain.Stats `json:"read"`
}

// Execute prints the history of a request from logs.
func (c *explainCommand) Execute([]string) error {
	lines, stats, err := readLogs(c.invocation, c.Arguments.Files)
	if err != nil {
		return err
	}
	account, err := explain.Request(lines, c.Arguments.Request)
	if err != nil {
		return err
	}
	if c.invocation.options.JSON {
		return c.invocation.printJSON(explainOutput{*account, stats})
	}
	c.print(account, stats)
	return nil
}

// readLogs reads the lines of files, or of the standard input if files is empty.
func readLogs(shared *invocation, files []string) ([]explain.Line, explain.Stats, error) {
	if len(files) == 0 {
		return explain.Read(shared.Input)
	}
	var all []explain.Line
	var stats explain.Stats
	for _, path := range files {
		lines, read, err := readLog(path)
		if err != nil {
			return nil, stats, err
		}
		all = append(all, lines...)
		stats.Add(read)
	}
	return all, stats, nil
}

func readLog(path string) ([]explain.Line, explain.Stats, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, explain.Stats{}, structs.NewError(structs.ErrorInvalid, "the log cannot be read: "+err.Error(), "Set files that this user may read.")
	}
	defer file.Close()
	return explain.Read(file)
}

func (c *explainCommand) print(account *explain.Account, stats explain.Stats) {
	output := c.invocation.Output
	fmt.Fprintf(output, "request %s arrived %s\n", account.Request, account.Arrived.Format("2006-01-02 15:04:05.000"))
	for _, finding := range account.Findings {
		fmt.Fprintln(output, "  "+finding)
	}
	for _, clock := range account.Clocks {
		fmt.Fprintf(output, "  The clock of %s is at least %v behind.\n", clock.Node, clock.Behind)
	}
	printLogLines(output, "\nits log lines, in seconds after its arrival", account, account.Events)
	printLogLines(output, "\nsystem state around it, as logged", account, account.Beliefs)
	fmt.Fprintf(output, "\n%d lines read, %d foreign, %d too long\n", stats.Lines, stats.Foreign, stats.TooLong)
}

func printLogLines(output io.Writer, title string, account *explain.Account, lines []explain.Line) {
	fmt.Fprintln(output, title)
	for _, line := range lines {
		fmt.Fprintf(output, "%+9.3f  %s\n", line.Time.Sub(account.Arrived).Seconds(), line.String())
	}
}
