// Package structs holds the typed messages that the parts of lotusferry
// exchange: rows of the table, grants, runners, replicas, orders, requests,
// claims and errors. It contains no logic beyond small accessors, so that every
// package can depend on it.
//
// Units: memory is in bytes, durations are time.Duration, counts of tokens are
// tokens of the model. Values of these types that cross the network or the disk
// are encoded with msgpack or gob; exported field names are therefore part of
// the format, and a field is never given a new meaning.
package structs
