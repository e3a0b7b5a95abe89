// Package engineapi is the published protocol of the back ends: model engines,
// the weight store and the machine list. It holds the HTTP paths, the message
// types and the client.
//
// Unary calls are JSON over HTTP through the go-kit transport. Generate is a
// server-sent event stream of structs.Token; it uses net/http directly, because
// the go-kit client decodes one response as a whole and offers no bounded,
// event-by-event reading of a body.
//
// # What an error says
//
// Every failed call is a *CallError whose Stage tells whether the request can
// have run: StageNotSent and StageRefused are certain that it did not,
// StageBroken says nothing. A stream is whole only when its last token has a
// finish of stop or length; any other end is an error.
//
// # Request identifiers
//
// An engine remembers each request ID for at least IDRetention. Within that time
// and one incarnation, a status of structs.RunUnknown means that the ID never
// ran; when it was asked with the cancel flag, the ID is refused from then on.
package engineapi
