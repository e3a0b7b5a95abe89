// Package api implements the public HTTP API of a router. It is compatible with the
// OpenAI API, is built on go-kit endpoints and streams with server-sent events.
//
// In addition to the OpenAI fields it reads three headers: Idempotency-Key (run at
// most once), Lotusferry-Deadline (a duration such as "5s") and Lotusferry-Priority
// (batch, standard or live). Every refusal has the header Lotusferry-Execution, which
// tells whether the request ran, and Retry-After if a retry may succeed.
//
// Routers of other zones forward requests to the same API with Client. The forwarding
// headers are read only in requests from daemons of the site.
package api
