package ctl

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/internal/pause"
	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/placement/tablefile"
	"github.com/lotusferry/lotusferry/structs"
)

// watchInterval is the duration of one long poll of the watch command.
const watchInterval = 30 * time.Second

type tableCommands struct {
	Get     tableGet     `command:"get" description:"Show the table, or some of its rows"`
	Apply   tableApply   `command:"apply" description:"Make the table as a file says"`
	Edit    tableEdit    `command:"edit" description:"Edit the whole table in a file"`
	Set     tableSet     `command:"set" description:"Change values of one row"`
	Delete  tableDelete  `command:"delete" description:"Delete rows"`
	History tableHistory `command:"history" description:"Show the newest accepted edits"`
	Watch   tableWatch   `command:"watch" description:"Show changes as they are accepted"`
}

func newTableCommands(shared *invocation) tableCommands {
	return tableCommands{
		Get:     tableGet{invocation: shared},
		Apply:   tableApply{invocation: shared},
		Edit:    tableEdit{invocation: shared},
		Set:     tableSet{invocation: shared},
		Delete:  tableDelete{invocation: shared},
		History: tableHistory{invocation: shared},
		Watch:   tableWatch{invocation: shared},
	}
}

type tableGet struct {
	invocation *invocation
	Format     string `long:"format" choice:"csv" choice:"yaml" choice:"json" description:"write the rows as a table file"`
	Positional struct {
		Rows []string `positional-arg-name:"ROW" description:"rows to show; all when none is named"`
	} `positional-args:"yes"`
}

// Execute prints the table.
func (c *tableGet) Execute([]string) error {
	service, ctx, cancel, err := c.invocation.service()
	if err != nil {
		return err
	}
	defer cancel()
	view, err := service.Table(ctx)
	if err != nil {
		return err
	}
	view.Rows, err = selectRows(view.Rows, c.Positional.Rows)
	if err != nil {
		return err
	}
	if c.Format != "" {
		return tablefile.Encode(tablefile.Format(c.Format), c.invocation.Output, view.Rows)
	}
	if c.invocation.options.JSON {
		return c.invocation.printJSON(view)
	}
	fmt.Fprintf(c.invocation.Output, "table revision %d, rows %d\n\n", view.Revision, len(view.Rows))
	return c.invocation.printRows(view.Rows)
}

// selectRows returns the named rows in the order of names, or all rows if names is
// empty.
func selectRows(rows []structs.Row, names []string) ([]structs.Row, error) {
	if len(names) == 0 {
		return rows, nil
	}
	var selected []structs.Row
	for _, name := range names {
		index := indexOf(rows, structs.RowName(name))
		if index < 0 {
			return nil, structs.NewError(structs.ErrorNotFound,
				fmt.Sprintf("the table has no row %q", name), "List all rows with `lotusferryctl table get`.")
		}
		selected = append(selected, rows[index])
	}
	return selected, nil
}

func indexOf(rows []structs.Row, name structs.RowName) int {
	return slices.IndexFunc(rows, func(row structs.Row) bool { return row.Name == name })
}

type tableHistory struct {
	invocation *invocation
	Limit      int `long:"limit" default:"20" description:"number of edits" value-name:"N"`
}

// Execute prints the newest edits.
func (c *tableHistory) Execute([]string) error {
	if c.Limit < 1 || c.Limit > operatorapi.MaximumHistory {
		return usageError(fmt.Sprintf("--limit must be from 1 to %d", operatorapi.MaximumHistory))
	}
	service, ctx, cancel, err := c.invocation.service()
	if err != nil {
		return err
	}
	defer cancel()
	entries, err := service.History(ctx, c.Limit)
	if err != nil {
		return err
	}
	if c.invocation.options.JSON {
		return c.invocation.printJSON(entries)
	}
	var lines [][]string
	for _, entry := range entries {
		lines = append(lines, []string{
			strconv.FormatUint(entry.Revision, 10),
			entry.At.UTC().Format(time.RFC3339),
			entry.Author,
			joinRows(entry.Rows),
			string(entry.EditID),
			entry.Comment,
		})
	}
	return c.invocation.printTable([]string{"REVISION", "AT", "AUTHOR", "ROWS", "EDIT", "COMMENT"}, lines)
}

// maximumListedRows is the maximum number of row names in a line of the history.
const maximumListedRows = 5

func joinRows(names []structs.RowName) string {
	var texts []string
	for index, name := range names {
		if index == maximumListedRows {
			texts = append(texts, fmt.Sprintf("+%d", len(names)-index))
			break
		}
		texts = append(texts, string(name))
	}
	return strings.Join(texts, ",")
}

type tableWatch struct {
	invocation *invocation
	Since      uint64 `long:"since" description:"start from the changes after this revision; the newest when 0" value-name:"REVISION"`
	Count      int    `long:"count" description:"stop after so many changes; 0 goes on until it is interrupted" value-name:"N"`
}

// watchOutput is the JSON output for one change of the table.
type watchOutput struct {
	Revision uint64              `json:"revision"`
	Changed  []structs.Row       `json:"changed"`
	Deleted  []structs.RowName   `json:"deleted"`
	lines    []structs.RowChange // for the plain table
}

// Execute prints changes until it is interrupted. Revisions in quick succession may be
// combined.
func (c *tableWatch) Execute([]string) error {
	service, err := c.invocation.Connect(*c.invocation.options)
	if err != nil {
		return err
	}
	seen, err := c.initialView(service)
	if err != nil {
		return err
	}
	for shown := 0; c.Count == 0 || shown < c.Count; {
		changes, err := c.nextChanges(service, seen.Revision)
		if c.invocation.ctx.Err() != nil {
			return nil
		}
		if err != nil {
			return err
		}
		if changes.Revision <= seen.Revision {
			continue
		}
		next := changes.Apply(seen)
		if err := c.print(seen.Rows, next); err != nil {
			return err
		}
		seen = next
		shown++
	}
	return nil
}

// nextChanges waits for a change. It retries unavailable errors until Options.Timeout,
// so that a watch survives leader elections.
func (c *tableWatch) nextChanges(service operatorapi.Service, since uint64) (operatorapi.TableChanges, error) {
	deadline := time.Now().Add(c.invocation.options.Timeout)
	for {
		next, err := service.Watch(c.invocation.ctx, since, watchInterval)
		if err == nil || exitCode(err) != ExitUnavailable || time.Now().After(deadline) {
			return next, err
		}
		if !pause.For(c.invocation.ctx, retryDelay(err)) {
			return next, err
		}
	}
}

// initialView returns the table to compare with. If Since is set, it omits all rows
// changed after that revision, because their former values are unknown.
func (c *tableWatch) initialView(service operatorapi.Service) (operatorapi.TableView, error) {
	ctx, cancel := context.WithTimeout(c.invocation.ctx, c.invocation.options.Timeout)
	defer cancel()
	view, err := service.Table(ctx)
	if err != nil || c.Since == 0 || c.Since >= view.Revision {
		return view, err
	}
	old := operatorapi.TableView{Revision: c.Since}
	for _, row := range view.Rows {
		if row.Revision <= c.Since {
			old.Rows = append(old.Rows, row)
		}
	}
	return old, nil
}

func (c *tableWatch) print(before []structs.Row, next operatorapi.TableView) error {
	output := watchOutput{Revision: next.Revision, lines: tablefile.Diff(before, next.Rows, true)}
	for _, change := range output.lines {
		if change.Delete {
			output.Deleted = append(output.Deleted, change.Row.Name)
			continue
		}
		output.Changed = append(output.Changed, change.Row)
	}
	if c.invocation.options.JSON {
		return c.invocation.printLineJSON(output)
	}
	fmt.Fprintf(c.invocation.Output, "table revision %d\n", next.Revision)
	return c.invocation.printChanges(before, output.lines)
}
