// Package tablefile reads and writes the operators' table as CSV, YAML or JSON,
// and finds the changes that lead from one table to another.
//
// All formats have the same columns: name, kind, base, weight, priority,
// min_replicas, max_replicas, memory, role, objective and revision. CSV has one
// row a line under a header, in any order of columns, as spreadsheets save it:
// with or without a byte order mark, with either line end, separated by commas or
// semicolons. YAML and JSON have a list of rows under the key rows. Memory is
// written as bytes or with a unit ("24GiB"), and a priority as batch, standard,
// live or its number. In YAML and JSON, memory may also be called memory_bytes.
//
// Decode checks that values can be read; table.ValidateRow checks that they make
// sense together.
package tablefile
