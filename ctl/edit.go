package ctl

import (
	"bufio"
	"bytes"
	"encoding/csv"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/placement/tablefile"
	"github.com/lotusferry/lotusferry/structs"
)

// decodeTable decodes a table file. It prints values that cannot be parsed.
func (s *invocation) decodeTable(format tablefile.Format, source io.Reader) ([]structs.Row, error) {
	rows, problems, err := tablefile.Decode(format, source)
	if err != nil {
		return nil, err
	}
	if len(problems) == 0 {
		return rows, nil
	}
	if s.options.JSON {
		err = s.printJSON(editOutput{Result: structs.EditResult{Problems: problems}, Changes: []changeOutput{}})
	} else {
		err = s.printProblems(problems)
		fmt.Fprintln(s.Errors, "lotusferryctl: nothing was changed: correct the values; their consistency is checked once all can be parsed.")
	}
	if err != nil {
		return nil, err
	}
	return nil, &exitError{code: ExitRefused}
}

type tableSet struct {
	invocation *invocation
	Edit       editOptions `group:"Options of edits"`
	Positional struct {
		Row    string   `positional-arg-name:"ROW" description:"name of the row; a new one is added"`
		Values []string `positional-arg-name:"COLUMN=VALUE" required:"1" description:"values to change"`
	} `positional-args:"yes" required:"yes"`
}

// Execute sets values of a row.
func (c *tableSet) Execute([]string) error {
	return c.invocation.change(c.Edit, func(table operatorapi.TableView) ([]structs.RowChange, error) {
		row, err := c.row(table.Rows)
		if err != nil {
			return nil, err
		}
		return tablefile.Diff(table.Rows, []structs.Row{row}, false), nil
	})
}

// row returns the row with the new values. They are parsed as a CSV table file.
func (c *tableSet) row(rows []structs.Row) (structs.Row, error) {
	name := structs.RowName(c.Positional.Row)
	current := structs.Row{Name: name, Kind: structs.RowModel, Weight: 1, Priority: structs.PriorityStandard}
	if index := indexOf(rows, name); index >= 0 {
		current = rows[index]
	}
	header, lines, err := encodeCells([]structs.Row{current})
	if err != nil {
		return structs.Row{}, err
	}
	for _, assignment := range c.Positional.Values {
		column, value, found := strings.Cut(assignment, "=")
		index := slices.Index(header, column)
		if !found || index < 0 || column == columnName || column == columnRevision {
			return structs.Row{}, usageError(fmt.Sprintf("%q does not set a column; the columns are %s", assignment, strings.Join(header, ", ")))
		}
		lines[0][index] = value
	}
	var file bytes.Buffer
	if err := csv.NewWriter(&file).WriteAll([][]string{header, lines[0]}); err != nil {
		return structs.Row{}, errors.Wrap(err, "encode the row")
	}
	wanted, err := c.invocation.decodeTable(tablefile.FormatCSV, &file)
	if err != nil {
		return structs.Row{}, err
	}
	if len(wanted) != 1 {
		return structs.Row{}, usageError("the name of the row is empty")
	}
	return wanted[0], nil
}

type tableDelete struct {
	invocation *invocation
	Edit       editOptions `group:"Options of edits"`
	Positional struct {
		Rows []string `positional-arg-name:"ROW" required:"1" description:"rows to delete"`
	} `positional-args:"yes" required:"yes"`
}

// Execute deletes rows.
func (c *tableDelete) Execute([]string) error {
	return c.invocation.change(c.Edit, func(table operatorapi.TableView) ([]structs.RowChange, error) {
		deleted, err := selectRows(table.Rows, c.Positional.Rows)
		if err != nil {
			return nil, err
		}
		return tablefile.Diff(deleted, nil, true), nil
	})
}

type tableEdit struct {
	invocation *invocation
	Edit       editOptions `group:"Options of edits"`
	File       string      `long:"file" required:"yes" description:"new file for the table (.csv, .yaml or .json); it is removed when the edit is accepted" value-name:"FILE"`
}

// Execute writes the table to the file, waits for the operator to edit it and applies
// it. Removed lines delete their rows. A rejected file can be corrected and applied
// again.
func (c *tableEdit) Execute([]string) error {
	format, err := tablefile.FormatOf(c.File)
	if err != nil {
		return usageError("--file must end in .csv, .yaml or .json")
	}
	service, ctx, cancel, err := c.invocation.service()
	if err != nil {
		return err
	}
	table, err := service.Table(ctx)
	cancel() // the timeout does not cover the operator's editing
	if err != nil {
		return err
	}
	if err := c.Edit.checkRevision(table); err != nil {
		return err
	}
	if err := c.write(format, table.Rows); err != nil {
		return err
	}
	return c.applyInteractively(format, table)
}

func (c *tableEdit) write(format tablefile.Format, rows []structs.Row) error {
	var content bytes.Buffer
	if err := tablefile.Encode(format, &content, rows); err != nil {
		return err
	}
	return keys.WriteNewFile(c.File, content.Bytes())
}

func (c *tableEdit) applyInteractively(format tablefile.Format, table operatorapi.TableView) error {
	path, err := filepath.Abs(c.File)
	if err != nil {
		return errors.Wrap(err, "resolve the path of the file")
	}
	input := bufio.NewScanner(c.invocation.Input)
	for {
		fmt.Fprintf(c.invocation.Errors, "Edit %s, then press Enter to apply it, or type q to leave the table as it is: ", path)
		if !input.Scan() || strings.TrimSpace(input.Text()) == "q" {
			fmt.Fprintln(c.invocation.Errors, "\nThe table was not changed.")
			return nil
		}
		err := c.apply(format, table)
		if exitCode(err) != ExitRefused {
			return err
		}
		c.invocation.report(err)
	}
}

// apply sends the changes between the table as written and the edited file. Rows that
// others have changed since then conflict.
func (c *tableEdit) apply(format tablefile.Format, table operatorapi.TableView) error {
	content, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read the edited file")
	}
	wanted, err := c.invocation.decodeTable(format, bytes.NewReader(content))
	if err != nil {
		return err
	}
	service, ctx, cancel, err := c.invocation.service()
	if err != nil {
		return err
	}
	defer cancel()
	changes := tablefile.Diff(table.Rows, wanted, true)
	err = c.invocation.newChange(ctx, service, c.Edit, table, changes).run()
	accepted := err == nil || exitCode(err) == ExitWaitTimedOut
	if !accepted || c.Edit.DryRun {
		return err
	}
	if removeErr := os.Remove(c.File); err == nil {
		err = errors.Wrap(removeErr, "remove the edited file")
	}
	return err
}
