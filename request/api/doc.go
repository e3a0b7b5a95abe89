// Package api is the callers' side of a router: an OpenAI-compatible HTTP
// interface over go-kit endpoints, with server-sent events for streams.
//
// Beyond the OpenAI fields it reads three headers of callers: Idempotency-Key (run
// at most once), Lotusferry-Deadline (a duration such as "5s") and
// Lotusferry-Priority (batch, standard or live). Every refusal carries
// Lotusferry-Execution, which says whether the request ran, and Retry-After where
// coming back helps.
//
// Routers of other zones forward requests over the same interface, with Client and
// with headers that are read only when a daemon of the site sent them.
package api
