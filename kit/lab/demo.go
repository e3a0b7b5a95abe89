package lab

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"

	"github.com/lotusferry/lotusferry/operatorapi"
	"github.com/lotusferry/lotusferry/request/api"
	"github.com/lotusferry/lotusferry/structs"
)

// DemoReport is the result of the demonstration.
type DemoReport struct {
	Daemons      int     `json:"daemons"`
	Engines      int     `json:"engines"`
	ReadySeconds float64 `json:"ready_seconds"`
	// EditSeconds is the time until the edit is in force in every zone.
	EditSeconds float64       `json:"edit_seconds"`
	Requests    []DemoRequest `json:"requests"`
	// Effect describes the effect of the last edit.
	Effect     string      `json:"effect"`
	Violations []Violation `json:"violations"`
}

// DemoRequest is the result of one request of the demonstration.
type DemoRequest struct {
	Row               structs.RowName  `json:"row"`
	Router            structs.DaemonID `json:"router"`
	FirstTokenSeconds float64          `json:"first_token_seconds"`
	Tokens            int              `json:"tokens"`
	Outcome           string           `json:"outcome"`
}

const demoTokens = 24

// RunDemo starts the demonstration site, applies its table, sends requests, edits the
// table, shows the effect, and stops the site.
func RunDemo(ctx context.Context, logger log.Logger, options FleetOptions, progress io.Writer) (DemoReport, error) {
	began := time.Now()
	fleet, err := StartFleet(ctx, logger, options)
	if err != nil {
		return DemoReport{}, err
	}
	defer fleet.Stop()
	report := DemoReport{
		Daemons:      len(fleet.Daemons),
		Engines:      len(fleet.Platform.Runners),
		ReadySeconds: time.Since(began).Seconds(),
	}
	fmt.Fprintf(progress, "%d daemons in %d zones are ready after %.1f s, before %d engines.\n",
		report.Daemons, len(options.Site.Zones), report.ReadySeconds, report.Engines)
	demo := demonstration{fleet: fleet, progress: progress, report: &report, caller: caller{client: api.NewClient(&http.Client{})}}
	if err := demo.run(ctx); err != nil {
		return report, err
	}
	report.Violations = CheckRecords(fleet.Site.Rows, fleet.Platform, demo.outcomes)
	return report, nil
}

type demonstration struct {
	fleet    *Fleet
	progress io.Writer
	report   *DemoReport
	caller   caller
	outcomes []Outcome
}

func (d *demonstration) run(ctx context.Context) error {
	seconds, err := d.fleet.ApplyRows(ctx, d.fleet.Site.Rows)
	if err != nil {
		return err
	}
	d.report.EditSeconds = seconds
	fmt.Fprintf(d.progress, "The table with %d rows is in force in every zone after %.2f s.\n", len(d.fleet.Site.Rows), seconds)
	last := len(d.fleet.Daemons) - 1
	d.send(ctx, d.fleet.Daemons[0], "explain-7b")
	d.send(ctx, d.fleet.Daemons[0], "explain-7b")
	d.send(ctx, d.fleet.Daemons[last], "explain-7b")
	d.send(ctx, d.fleet.Daemons[1], "explain-7b/cobol")
	d.send(ctx, d.fleet.Daemons[1], "review-13b")
	return d.disableRow(ctx, "review-13b")
}

func (d *demonstration) send(ctx context.Context, router *Process, row structs.RowName) Outcome {
	request := structs.Request{
		ID:         structs.RequestID(uuid.NewString()),
		Row:        row,
		Prompt:     "Explain this function, please. " + uuid.NewString(),
		MaxTokens:  demoTokens,
		Priority:   structs.PriorityLive,
		DeadlineAt: time.Now().Add(20 * time.Second),
	}
	outcome := d.caller.call(ctx, router.target(), request)
	d.outcomes = append(d.outcomes, outcome)
	shown := DemoRequest{Row: row, Router: router.ID, Tokens: outcome.Tokens, Outcome: describe(outcome)}
	if !outcome.FirstTokenAt.IsZero() {
		shown.FirstTokenSeconds = outcome.FirstTokenAt.Sub(outcome.SentAt).Seconds()
	}
	d.report.Requests = append(d.report.Requests, shown)
	fmt.Fprintf(d.progress, "  %-18s at %-8s first token %6.3f s, %2d tokens: %s\n",
		shown.Row, shown.Router, shown.FirstTokenSeconds, shown.Tokens, shown.Outcome)
	return outcome
}

func describe(outcome Outcome) string {
	if outcome.Refusal == nil {
		return "answered"
	}
	return "refused (" + string(outcome.Refusal.Execution) + "): " + outcome.Refusal.Error.Error()
}

// disableRow sets a row's replica limit to 0 and shows that the row is unloaded and its
// requests are refused.
func (d *demonstration) disableRow(ctx context.Context, name structs.RowName) error {
	view, err := d.fleet.Operators.Table(ctx)
	if err != nil {
		return err
	}
	row, err := findRow(view, name)
	if err != nil {
		return err
	}
	row.MaxReplicas = 0
	if _, err := d.fleet.ApplyRows(ctx, []structs.Row{row}); err != nil {
		return err
	}
	unloaded, err := d.fleet.awaitUnloaded(ctx, name)
	if err != nil {
		return err
	}
	d.report.Effect = fmt.Sprintf("max_replicas of %s set to 0: unloaded after %.2f s", name, unloaded)
	fmt.Fprintln(d.progress, "Edit:", d.report.Effect)
	d.send(ctx, d.fleet.Daemons[1], name)
	return nil
}

func findRow(view operatorapi.TableView, name structs.RowName) (structs.Row, error) {
	for _, row := range view.Rows {
		if row.Name == name {
			return row, nil
		}
	}
	return structs.Row{}, structs.NewError(structs.ErrorNotFound,
		fmt.Sprintf("the table has no row %s", name), "Name a row of the site's table.")
}
