package tablefile

import (
	"bytes"
	"fmt"
	"io"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// rowsKey is the only top-level key of a YAML or JSON file.
const rowsKey = "rows"

// document is the content of a YAML or JSON file.
type document struct {
	Rows []structs.Row `json:"rows" yaml:"rows"`
}

// readYAML reads the records of a single YAML document.
func readYAML(data []byte) ([]record, error) {
	decoder := yaml.NewDecoder(bytes.NewReader(data))
	var root yaml.Node
	if err := decoder.Decode(&root); err != nil {
		return nil, yamlError(err.Error())
	}
	var extra yaml.Node
	if err := decoder.Decode(&extra); err != io.EOF {
		return nil, yamlError("there is more than one document")
	}
	if len(root.Content) != 1 || root.Content[0].Kind != yaml.MappingNode {
		return nil, yamlError("it is not a mapping")
	}
	top := root.Content[0].Content
	if len(top) != 2 || top[0].Value != rowsKey {
		return nil, yamlError("rows is not its one key")
	}
	if top[1].Kind != yaml.SequenceNode {
		return nil, yamlError("rows is not a list")
	}
	var records []record
	for _, node := range top[1].Content {
		record, err := yamlRecord(node)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return records, nil
}

func yamlError(reason string) *structs.Error {
	return invalid("the file is not a table in YAML: "+reason, "Write one mapping with a list of rows under the key rows.")
}

func yamlRecord(node *yaml.Node) (record, error) {
	if node.Kind != yaml.MappingNode {
		return record{}, yamlError(fmt.Sprintf("the row at line %d is not a mapping", node.Line))
	}
	record := record{line: node.Line}
	for i := 0; i+1 < len(node.Content); i += 2 {
		record.values = append(record.values, yamlValue(node.Content[i].Value, node.Content[i+1]))
	}
	return record, nil
}

// yamlValue returns the text of a scalar as written, so that a name such as 1.10 is
// not read as a number. Lists, mappings, aliases and null have kind valueOther.
func yamlValue(column string, node *yaml.Node) value {
	isText := node.Style&(yaml.DoubleQuotedStyle|yaml.SingleQuotedStyle|yaml.LiteralStyle|yaml.FoldedStyle) != 0
	switch {
	case node.Kind != yaml.ScalarNode || node.ShortTag() == "!!null":
		return value{column: column, text: node.Value, kind: valueOther}
	case isText:
		return value{column: column, text: node.Value, kind: valueText}
	default:
		return value{column: column, text: node.Value, kind: valuePlain}
	}
}

func writeYAML(target io.Writer, rows []structs.Row) error {
	encoder := yaml.NewEncoder(target)
	encoder.SetIndent(2)
	if err := encoder.Encode(document{Rows: nonNilRows(rows)}); err != nil {
		return errors.Wrap(err, "writing the table as YAML")
	}
	return errors.Wrap(encoder.Close(), "writing the table as YAML")
}

// nonNilRows replaces nil by an empty slice, which is encoded as a list instead of null.
func nonNilRows(rows []structs.Row) []structs.Row {
	if rows == nil {
		return []structs.Row{}
	}
	return rows
}
