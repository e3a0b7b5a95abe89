// Package structs holds the typed messages that the parts of lotusferry
// exchange: rows of the table, grants, runners, replicas, orders, requests,
// claims and errors. It contains no logic beyond small accessors, so that every
// package can depend on it.
//
// Units: memory is in bytes, durations are time.Duration, counts of tokens are
// tokens of the model. Values of these types are sent and stored in msgpack or gob
// encoding; exported field names are therefore part of the format, and the meaning of
// a field never changes.
package structs
