package engineapi

import "time"

// Paths of a model engine.
const (
	PathGenerate   = "/engine/v1/generate"
	PathCancel     = "/engine/v1/cancel"
	PathRequests   = "/engine/v1/requests/"
	PathOrders     = "/engine/v1/orders"
	PathReport     = "/engine/v1/report"
	PathEvents     = "/engine/v1/events"
	PathExport     = "/engine/v1/kv/export"
	PathImport     = "/engine/v1/kv/import"
	PathEmbeddings = "/engine/v1/embeddings"
)

// Paths of the weight store and the machine list.
const (
	PathStoreFetch   = "/store/v1/fetch"
	PathStoreState   = "/store/v1/state"
	PathMachineList  = "/machines/v1/list"
	PathMachineLeave = "/machines/v1/leave"
)

const (
	// HeaderLoad is a structs.LoadReport in JSON, sent as header and as trailer of a
	// generate response.
	HeaderLoad = "Engine-Load"
	// HeaderExecution is a structs.Execution, sent with an error response. Only
	// structs.ExecutionNotRun means that the request did not run.
	HeaderExecution = "Engine-Execution"
	// ContentTypeEvents is the content type of a generate response.
	ContentTypeEvents = "text/event-stream"
	// ContentTypeJSON is the content type of all other bodies.
	ContentTypeJSON = "application/json"
)

const (
	// QueryAfter is the query parameter of PathEvents for the last sequence number seen.
	QueryAfter = "after"
	// QueryZone is the query parameter of PathMachineList that selects the machines of
	// a zone. A machine list that does not support it returns all machines.
	QueryZone = "zone"
	// QuerySince is the query parameter of PathMachineList that requests the
	// MachineChanges since a version, or the full list with its version if it is empty.
	// A machine list that does not support it returns an array of machines.
	QuerySince = "since"
	// QueryCancel is the query parameter of PathRequests that cancels the request and
	// makes the engine refuse its ID from then on.
	QueryCancel = "cancel"
	// IDRetention is the minimum time for which an engine remembers a request ID.
	IDRetention = 15 * time.Minute
)
