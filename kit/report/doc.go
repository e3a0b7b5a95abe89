// Package report holds what the kit's reports share: plots as SVG elements, and
// folders with a JSON file and an HTML page.
package report
