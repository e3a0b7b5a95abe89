package engineapi

import "time"

// The paths of a model engine.
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

// The paths of the weight store and of the machine list.
const (
	PathStoreFetch   = "/store/v1/fetch"
	PathStoreState   = "/store/v1/state"
	PathMachineList  = "/machines/v1/list"
	PathMachineLeave = "/machines/v1/leave"
)

const (
	// HeaderLoad carries a compact JSON structs.LoadReport in the header and in
	// the trailer of a generate response.
	HeaderLoad = "Engine-Load"
	// HeaderExecution carries a structs.Execution on an error response. Only
	// structs.ExecutionNotRun makes the error a certain refusal.
	HeaderExecution = "Engine-Execution"
	// ContentTypeEvents is the content type of a generate response.
	ContentTypeEvents = "text/event-stream"
	// ContentTypeJSON is the content type of all other bodies.
	ContentTypeJSON = "application/json"
)

const (
	// QueryAfter is the query parameter of PathEvents: the last sequence number seen.
	QueryAfter = "after"
	// QueryZone is the query parameter of PathMachineList: only this zone's machines.
	// A list that does not know it answers with all.
	QueryZone = "zone"
	// QuerySince is the query parameter of PathMachineList that asks for a
	// MachineChanges after the version, or for the whole list with its version when
	// it is empty. A list that does not know it answers with an array of machines.
	QuerySince = "since"
	// QueryCancel is the query parameter of PathRequests that cancels the ID and
	// refuses it from then on.
	QueryCancel = "cancel"
	// IDRetention is how long an engine remembers a request ID at least.
	IDRetention = 15 * time.Minute
)
