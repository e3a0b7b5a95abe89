// Package report renders plots as SVG elements and writes report folders with a JSON
// file and an HTML page.
package report
