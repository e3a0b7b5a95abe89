// Package tablefile reads and writes the operators' table as CSV, YAML or JSON and
// computes the changes between two tables.
//
// All formats have the same columns: name, kind, base, weight, priority,
// min_replicas, max_replicas, memory, role, objective and revision. CSV files have a
// header line, columns in any order, an optional byte order mark, LF or CRLF line
// ends, and commas or semicolons as separators. YAML and JSON files have a list of
// rows under the key rows. Memory is written in bytes or with a unit ("24GiB"), and a
// priority as batch, standard, live or its number. The memory column may also be
// called memory_bytes.
//
// Decode checks only the syntax of values; see table.ValidateRow for their validity.
package tablefile
