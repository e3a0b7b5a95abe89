package report

import (
	"bytes"
	"encoding/json"
	"html/template"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/vg"
)

// File names in a report folder.
const (
	DocumentName = "report.json"
	PageName     = "report.html"
)

const (
	folderMode = 0o755
	fileMode   = 0o644
)

// SVG renders the plot as an SVG element that can be embedded in an HTML page.
func SVG(p *plot.Plot, width, height vg.Length) (template.HTML, error) {
	writer, err := p.WriterTo(width, height, "svg")
	if err != nil {
		return "", errors.Wrap(err, "draw a plot")
	}
	var buffer bytes.Buffer
	if _, err := writer.WriteTo(&buffer); err != nil {
		return "", errors.Wrap(err, "draw a plot")
	}
	text := buffer.String()
	start := strings.Index(text, "<svg")
	return template.HTML(text[max(start, 0):]), nil
}

// WriteFolder writes the document as JSON and the HTML page to the folder. It creates
// the folder if necessary.
func WriteFolder(folder string, document any, writePage func(io.Writer) error) error {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return errors.Wrap(err, "create the report folder")
	}
	encoded, err := json.MarshalIndent(document, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encode the report")
	}
	if err := os.WriteFile(filepath.Join(folder, DocumentName), append(encoded, '\n'), fileMode); err != nil {
		return errors.Wrap(err, "write the report")
	}
	file, err := os.Create(filepath.Join(folder, PageName))
	if err != nil {
		return errors.Wrap(err, "create the page")
	}
	if err := writePage(file); err != nil {
		file.Close()
		return err
	}
	return errors.Wrap(file.Close(), "write the page")
}
