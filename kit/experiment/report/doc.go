// Package report sums up the runs of an experiment over its seeds, compares them
// with the targets, and writes them as JSON and as one HTML page with plots.
package report
