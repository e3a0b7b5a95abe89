// Package engineapi defines the public protocol of the back ends: model engines, the
// weight store and the machine list. It contains the HTTP paths, the message types and
// a client.
//
// Unary calls are JSON over HTTP with the go-kit transport. Generate returns a
// server-sent event stream of structs.Token. It uses net/http directly, because the
// go-kit client decodes a response body as a whole.
//
// # Errors
//
// A failed call returns a *CallError. With StageNotSent and StageRefused the request
// did not run, with StageBroken it may have run. A stream is complete only if its last
// token has the finish reason stop or length; any other end is an error.
//
// # Request identifiers
//
// An engine remembers each request ID for at least IDRetention. Within that time and
// the same incarnation, a status of structs.RunUnknown means that the request did not
// run. If the status was queried with the cancel flag, the engine refuses the ID from
// then on.
package engineapi
