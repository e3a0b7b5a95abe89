package emulator

import (
	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// CallID names one call to an engine; its caller chooses it, and the outputs of
// the call carry it.
type CallID uint64

// InputKind tells what an EngineInput asks.
type InputKind uint8

// The kinds of input, with the fields that they read.
const (
	// InputGenerate reads Generate. It is answered by OutputAccepted and then
	// OutputToken, or by OutputRefused.
	InputGenerate InputKind = iota
	// InputDisconnect says that the caller of Call is gone: its request is
	// cancelled, and may be resumed under the same ID.
	InputDisconnect
	// InputStatus reads ID and Cancel. It is answered by OutputStatus.
	InputStatus
	// InputOrder reads Order. It is answered by OutputOrder.
	InputOrder
	// InputReport is answered by OutputReport.
	InputReport
	// InputEvents reads After. It is answered by OutputEvents.
	InputEvents
	// InputExport reads ID and Row. It is answered by OutputExport or OutputRefused.
	InputExport
	// InputImport reads Cache. It is answered by OutputImport or OutputRefused.
	InputImport
	// InputEmbeddings reads Embeddings. It is answered by OutputEmbeddings or
	// OutputRefused.
	InputEmbeddings
	// InputFetched reads Row and Failed: the fetch asked by OutputFetch has ended.
	InputFetched
	// InputCrash kills the engine: OutputDied follows, and every later call is reset.
	InputCrash
)

// EngineInput is one message to an engine.
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

// OutputKind tells what an EngineOutput carries.
type OutputKind uint8

// The kinds of output, with the fields that they carry.
const (
	// OutputAccepted carries Load: the request is in the queue.
	OutputAccepted OutputKind = iota
	// OutputRefused carries Refusal.
	OutputRefused
	// OutputToken carries Token, and Load when the token finishes the stream.
	OutputToken
	// OutputReset says that the connection of Call is cut without an answer.
	OutputReset
	// OutputStatus carries Status.
	OutputStatus
	// OutputOrder carries Order.
	OutputOrder
	// OutputReport carries Report.
	OutputReport
	// OutputEvents carries Events.
	OutputEvents
	// OutputExport carries Cache.
	OutputExport
	// OutputImport carries Import.
	OutputImport
	// OutputEmbeddings carries Embeddings.
	OutputEmbeddings
	// OutputFetch carries Fetch: the engine asks the weight store for a checkpoint.
	OutputFetch
	// OutputDied says that the process is gone and all its connections are cut.
	OutputDied
)

// EngineOutput is one message of an engine.
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
