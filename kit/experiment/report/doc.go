// Package report aggregates experiment runs over their seeds, checks the results
// against targets, and writes them as JSON and as an HTML page with plots.
package report
