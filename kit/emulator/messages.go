package emulator

import (
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// CallID identifies a call to an engine. The caller chooses it, and the outputs of the
// call carry it.
type CallID uint64

// InputKind is the kind of an EngineInput.
type InputKind uint8

// The kinds of input and the fields that they use.
const (
	// InputGenerate uses Generate. It yields OutputAccepted and then OutputToken, or
	// OutputRefused.
	InputGenerate InputKind = iota
	// InputDisconnect reports that the caller of Call has disconnected. Its request is
	// cancelled and may be resumed under the same ID.
	InputDisconnect
	// InputStatus uses ID and Cancel. It yields OutputStatus.
	InputStatus
	// InputOrder uses Order. It yields OutputOrder.
	InputOrder
	// InputReport yields OutputReport.
	InputReport
	// InputEvents uses After. It yields OutputEvents.
	InputEvents
	// InputExport uses ID and Row. It yields OutputExport or OutputRefused.
	InputExport
	// InputImport uses Cache. It yields OutputImport or OutputRefused.
	InputImport
	// InputEmbeddings uses Embeddings. It yields OutputEmbeddings or OutputRefused.
	InputEmbeddings
	// InputFetched uses Row and Failed. It reports the end of the fetch requested by
	// OutputFetch.
	InputFetched
	// InputCrash crashes the engine. It yields OutputDied, and every later call is
	// reset.
	InputCrash
)

// EngineInput is a message to an engine.
type EngineInput struct {
	Kind       InputKind
	Call       CallID
	Generate   structs.GenerateRequest
	ID         structs.RequestID
	Cancel     bool
	Order      structs.Order
	After      uint64
	Row        structs.RowName
	Cache      engineapi.KVCache
	Embeddings engineapi.EmbeddingsRequest
	Failed     bool
}

// OutputKind is the kind of an EngineOutput.
type OutputKind uint8

// The kinds of output and the fields that they set.
const (
	// OutputAccepted sets Load: the request is queued.
	OutputAccepted OutputKind = iota
	// OutputRefused sets Refusal.
	OutputRefused
	// OutputToken sets Token, and Load if the token ends the stream.
	OutputToken
	// OutputReset reports that the connection of Call is closed without a response.
	OutputReset
	// OutputStatus sets Status.
	OutputStatus
	// OutputOrder sets Order.
	OutputOrder
	// OutputReport sets Report.
	OutputReport
	// OutputEvents sets Events.
	OutputEvents
	// OutputExport sets Cache.
	OutputExport
	// OutputImport sets Import.
	OutputImport
	// OutputEmbeddings sets Embeddings.
	OutputEmbeddings
	// OutputFetch sets Fetch: the engine requests a checkpoint from the weight store.
	OutputFetch
	// OutputDied reports that the engine crashed and all its connections are closed.
	OutputDied
)

// EngineOutput is a message from an engine.
type EngineOutput struct {
	Kind       OutputKind
	Call       CallID
	Token      structs.Token
	Load       *structs.LoadReport
	Refusal    *structs.Rejection
	Status     *structs.RequestStatus
	Order      *structs.OrderReply
	Report     *structs.EngineReport
	Events     *engineapi.EventPage
	Cache      *engineapi.KVCache
	Import     *engineapi.ImportReply
	Embeddings *engineapi.EmbeddingsReply
	Fetch      *engineapi.FetchRequest
}
