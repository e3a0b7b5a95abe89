package ctl

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/placement/tablefile"
	"github.com/lotusferry/lotusferry/structs"
)

// resendInterval passes between two attempts when a daemon names no time.
const resendInterval = 500 * time.Millisecond

// editOptions are the options of the commands that change the table.
type editOptions struct {
	DryRun         bool          `long:"dry-run" description:"show and check the changes without making them"`
	Wait           bool          `long:"wait" description:"return once the edit is in force in every zone"`
	WaitTimeout    time.Duration `long:"wait-timeout" default:"30s" description:"time for --wait" value-name:"DURATION"`
	ExpectRevision uint64        `long:"expect-revision" description:"refuse unless this is the table's revision" value-name:"REVISION"`
	AllowEmpty     bool          `long:"allow-empty" description:"make the edit even if it deletes every row"`
	Comment        string        `long:"comment" description:"comment for the history" value-name:"TEXT"`
	Author         string        `long:"author" env:"LOTUSFERRY_AUTHOR" description:"author, in development mode only; otherwise the key tells" value-name:"NAME"`
	EditID         string        `long:"edit-id" description:"ID of an edit that is sent again after its answer was lost" value-name:"UUID"`
}

// editOutput is the result of a command that changes the table as --json shows it.
type editOutput struct {
	Result  structs.EditResult `json:"result"`
	DryRun  bool               `json:"dry_run"`
	Changes []changeOutput     `json:"changes"`
	// InForce is set when --wait saw the edit in force in every zone.
	InForce bool `json:"in_force"`
}

type changeOutput struct {
	Row          structs.Row `json:"row"`
	Delete       bool        `json:"delete"`
	BaseRevision uint64      `json:"base_revision"`
}

// change is one edit on its way.
type change struct {
	invocation *invocation
	options    editOptions
	service    operatorapi.Service
	ctx        context.Context
	// table is what the changes were made against.
	table operatorapi.TableView
	edit  structs.Edit
}

// checkRevision refuses when the table is not the expected one.
func (o editOptions) checkRevision(table operatorapi.TableView) error {
	if o.ExpectRevision == 0 || o.ExpectRevision == table.Revision {
		return nil
	}
	return structs.NewError(structs.ErrorConflict,
		fmt.Sprintf("the table is at revision %d and not at %d", table.Revision, o.ExpectRevision),
		"Read the table again, and make the edit against what it holds now.")
}

// change reads the table, has plan say what to change in it, and makes the edit.
func (s *invocation) change(options editOptions, plan func(operatorapi.TableView) ([]structs.RowChange, error)) error {
	service, ctx, cancel, err := s.service()
	if err != nil {
		return err
	}
	defer cancel()
	table, err := service.Table(ctx)
	if err != nil {
		return err
	}
	if err := options.checkRevision(table); err != nil {
		return err
	}
	changes, err := plan(table)
	if err != nil {
		return err
	}
	return s.newChange(ctx, service, options, table, changes).run()
}

func (s *invocation) newChange(ctx context.Context, service operatorapi.Service, options editOptions,
	table operatorapi.TableView, changes []structs.RowChange) *change {
	edit := structs.Edit{
		ID:      structs.EditID(options.EditID),
		Author:  options.Author,
		Comment: options.Comment,
		Changes: changes,
	}
	if edit.ID == "" {
		edit.ID = newEditID()
	}
	return &change{invocation: s, options: options, service: service, ctx: ctx, table: table, edit: edit}
}

// run sends the edit, prints the result and, when asked, waits.
func (c *change) run() error {
	if len(c.edit.Changes) == 0 {
		return c.printUnchanged()
	}
	if c.empties() && !c.options.AllowEmpty {
		return structs.NewError(structs.ErrorInvalid, "the edit would delete every row of the table",
			"Check the file; if it is meant so, add --allow-empty.")
	}
	if c.options.DryRun && !c.invocation.options.JSON {
		if err := c.invocation.printChanges(c.table.Rows, c.edit.Changes); err != nil {
			return err
		}
	}
	result, err := c.send()
	if err != nil {
		return err
	}
	if !result.Accepted {
		return c.printRefused(result)
	}
	var waited error
	if c.options.Wait && !c.options.DryRun {
		waited = c.invocation.waitInForce(c.service, result.Revision, c.options.WaitTimeout)
	}
	if err := c.printAccepted(result, waited); err != nil {
		return err
	}
	return waited
}

// empties reports whether the edit leaves no row, as a file that was cut short would.
func (c *change) empties() bool {
	for _, change := range c.edit.Changes {
		if !change.Delete {
			return false
		}
	}
	return len(c.edit.Changes) == len(c.table.Rows)
}

// send sends the edit until it is answered or the time is over. Each resend
// carries the same ID, so the edit is made once at most.
func (c *change) send() (structs.EditResult, error) {
	for {
		result, err := c.service.Apply(c.ctx, c.edit, c.options.DryRun)
		if err == nil || exitCode(err) != ExitUnavailable {
			return result, err
		}
		if !pause.For(c.ctx, resendAfter(err)) {
			return result, c.outcomeUnknown(err)
		}
	}
}

func (c *change) outcomeUnknown(err error) error {
	if c.options.DryRun {
		return err
	}
	return structs.NewError(structs.ErrorUnavailable,
		fmt.Sprintf("it is not known whether the edit was made (%s)", err),
		fmt.Sprintf("Send it again with --edit-id %s, or look for that ID in `lotusferryctl table history`.", c.edit.ID))
}

func (c *change) output(result structs.EditResult) editOutput {
	output := editOutput{Result: result, DryRun: c.options.DryRun, Changes: []changeOutput{}}
	for _, change := range c.edit.Changes {
		output.Changes = append(output.Changes, changeOutput(change))
	}
	return output
}

func (c *change) printUnchanged() error {
	if c.invocation.options.JSON {
		return c.invocation.printJSON(c.output(structs.EditResult{Accepted: true, Revision: c.table.Revision}))
	}
	fmt.Fprintf(c.invocation.Output, "nothing to change: the table at revision %d is as wanted\n", c.table.Revision)
	return nil
}

func (c *change) printAccepted(result structs.EditResult, waited error) error {
	inForce := c.options.Wait && !c.options.DryRun && waited == nil
	if c.invocation.options.JSON {
		output := c.output(result)
		output.InForce = inForce
		return c.invocation.printJSON(output)
	}
	switch {
	case c.options.DryRun:
		fmt.Fprintf(c.invocation.Output, "dry run: the edit would be accepted, rows %d\n", len(c.edit.Changes))
	case inForce:
		fmt.Fprintf(c.invocation.Output, "accepted at revision %d, in force in every zone, edit %s\n", result.Revision, c.edit.ID)
	default:
		fmt.Fprintf(c.invocation.Output, "accepted at revision %d, edit %s\n", result.Revision, c.edit.ID)
	}
	return nil
}

// printRefused prints the problems and conflicts of a refused edit.
func (c *change) printRefused(result structs.EditResult) error {
	code := ExitRefused
	if len(result.Problems) == 0 && len(result.Conflicts) > 0 {
		code = ExitConflict
	}
	if c.invocation.options.JSON {
		if err := c.invocation.printJSON(c.output(result)); err != nil {
			return err
		}
		return &exitError{code: code}
	}
	if len(result.Problems) > 0 {
		if err := c.invocation.printProblems(result.Problems); err != nil {
			return err
		}
	}
	if len(result.Conflicts) > 0 {
		if err := c.invocation.printConflicts(result.Conflicts); err != nil {
			return err
		}
	}
	fmt.Fprintln(c.invocation.Errors, "lotusferryctl: the edit was refused and changed nothing: correct the values, or make it against the rows as they are now.")
	return &exitError{code: code}
}

type tableApply struct {
	invocation *invocation
	Edit       editOptions `group:"Options of edits"`
	Prune      bool        `long:"prune" description:"delete the rows that the file lacks"`
	Format     string      `long:"format" choice:"csv" choice:"yaml" choice:"json" description:"format of the file; by default its extension tells"`
	Positional struct {
		File string `positional-arg-name:"FILE" description:"table file, or - for the input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute applies the file.
func (c *tableApply) Execute([]string) error {
	wanted, err := c.read()
	if err != nil {
		return err
	}
	return c.invocation.change(c.Edit, func(table operatorapi.TableView) ([]structs.RowChange, error) {
		return tablefile.Diff(table.Rows, wanted, c.Prune), nil
	})
}

func (c *tableApply) read() ([]structs.Row, error) {
	path := c.Positional.File
	format := tablefile.Format(c.Format)
	if format == "" {
		var err error
		format, err = tablefile.FormatOf(path)
		if err != nil {
			return nil, usageError("name the format of " + path + " with --format")
		}
	}
	if path == "-" {
		return c.invocation.decodeTable(format, c.invocation.Input)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, structs.NewError(structs.ErrorInvalid,
			"the table file cannot be read: "+err.Error(), "Name a file that this user may read.")
	}
	defer file.Close()
	return c.invocation.decodeTable(format, file)
}
