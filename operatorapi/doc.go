// Package operatorapi is the HTTP API for operators and its client: JSON over
// go-kit's HTTP transport, one endpoint for each operation of Service.
//
// A request shows its API key as "Authorization: Bearer KEY". A failure is
// answered with the HTTP status of its kind and a body that carries the kind,
// the message, the remedy and when to come back. Every operation is safe to send
// again: edits carry an ID, drains name the wanted state, the rest reads.
package operatorapi
