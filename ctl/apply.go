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

// defaultRetryInterval is the delay between attempts if the error has no retry delay.
const defaultRetryInterval = 500 * time.Millisecond

// editOptions are the options of the commands that edit the table.
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

// editOutput is the JSON output of the commands that edit the table.
type editOutput struct {
	Result  structs.EditResult `json:"result"`
	DryRun  bool               `json:"dry_run"`
	Changes []changeOutput     `json:"changes"`
	// InForce is set if --wait confirmed that every zone uses the edit.
	InForce bool `json:"in_force"`
}

type changeOutput struct {
	Row          structs.Row `json:"row"`
	Delete       bool        `json:"delete"`
	BaseRevision uint64      `json:"base_revision"`
}

// change is an edit in progress.
type change struct {
	invocation *invocation
	options    editOptions
	service    operatorapi.Service
	ctx        context.Context
	// table is the table on which the changes are based.
	table operatorapi.TableView
	edit  structs.Edit
}

// checkRevision returns an error if the table is not at the expected revision.
func (o editOptions) checkRevision(table operatorapi.TableView) error {
	if o.ExpectRevision == 0 || o.ExpectRevision == table.Revision {
		return nil
	}
	return structs.NewError(structs.ErrorConflict,
		fmt.Sprintf("the table is at revision %d, not at %d", table.Revision, o.ExpectRevision),
		"Read the table again and base the edit on the current rows.")
}

// change reads the table, calls plan for the changes, and sends them as one edit.
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

// run sends the edit, waits for it if --wait is set, and prints the result.
func (c *change) run() error {
	if len(c.edit.Changes) == 0 {
		return c.printNoChanges()
	}
	if c.deletesAllRows() && !c.options.AllowEmpty {
		return structs.NewError(structs.ErrorInvalid, "the edit would delete every row of the table",
			"Check the file, or add --allow-empty if this is intended.")
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
		return c.printRejected(result)
	}
	var waitErr error
	if c.options.Wait && !c.options.DryRun {
		waitErr = c.invocation.waitInForce(c.service, result.Revision, c.options.WaitTimeout)
	}
	if err := c.printAccepted(result, waitErr); err != nil {
		return err
	}
	return waitErr
}

// deletesAllRows reports whether the edit leaves no rows. It guards against truncated
// files.
func (c *change) deletesAllRows() bool {
	for _, change := range c.edit.Changes {
		if !change.Delete {
			return false
		}
	}
	return len(c.edit.Changes) == len(c.table.Rows)
}

// send sends the edit until it gets a response or the context ends. Retries use the
// same ID, so the edit is applied at most once.
func (c *change) send() (structs.EditResult, error) {
	for {
		result, err := c.service.Apply(c.ctx, c.edit, c.options.DryRun)
		if err == nil || exitCode(err) != ExitUnavailable {
			return result, err
		}
		if !pause.For(c.ctx, retryDelay(err)) {
			return result, c.outcomeUnknown(err)
		}
	}
}

func (c *change) outcomeUnknown(err error) error {
	if c.options.DryRun {
		return err
	}
	return structs.NewError(structs.ErrorUnavailable,
		fmt.Sprintf("the outcome of the edit is unknown (%s)", err),
		fmt.Sprintf("Retry with --edit-id %s, or look for that ID in `lotusferryctl table history`.", c.edit.ID))
}

func (c *change) output(result structs.EditResult) editOutput {
	output := editOutput{Result: result, DryRun: c.options.DryRun, Changes: []changeOutput{}}
	for _, change := range c.edit.Changes {
		output.Changes = append(output.Changes, changeOutput(change))
	}
	return output
}

func (c *change) printNoChanges() error {
	if c.invocation.options.JSON {
		return c.invocation.printJSON(c.output(structs.EditResult{Accepted: true, Revision: c.table.Revision}))
	}
	fmt.Fprintf(c.invocation.Output, "no changes: the table at revision %d is up to date\n", c.table.Revision)
	return nil
}

func (c *change) printAccepted(result structs.EditResult, waitErr error) error {
	inForce := c.options.Wait && !c.options.DryRun && waitErr == nil
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

// printRejected prints the problems and conflicts of a rejected edit.
func (c *change) printRejected(result structs.EditResult) error {
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
	fmt.Fprintln(c.invocation.Errors, "lotusferryctl: the edit was rejected and changed nothing: correct the values, or base the edit on the current rows.")
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

// Execute applies a table file.
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
			return nil, usageError("set the format of " + path + " with --format")
		}
	}
	if path == "-" {
		return c.invocation.decodeTable(format, c.invocation.Input)
	}
	file, err := os.Open(path)
	if err != nil {
		return nil, structs.NewError(structs.ErrorInvalid,
			"the table file cannot be read: "+err.Error(), "Set a file that this user may read.")
	}
	defer file.Close()
	return c.invocation.decodeTable(format, file)
}
