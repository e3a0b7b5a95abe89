// Package operatorapi implements the HTTP API for operators and its client. It
// uses JSON over go-kit's HTTP transport, with one endpoint per operation of Service.
//
// Requests carry an API key as "Authorization: Bearer KEY". Errors are returned with
// the HTTP status of their kind, and a body with the kind, message, remedy and retry
// delay. All operations are idempotent: edits carry an ID, drains and membership
// changes set a target state, and the others only read.
package operatorapi
