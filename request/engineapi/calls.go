package engineapi

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// Cancel stops the request and makes the engine refuse its ID from then on. The
// answer is the state after the cancel; structs.RunUnknown means that the engine
// had never seen the ID.
func (c *Client) Cancel(ctx context.Context, address string, id structs.RequestID) (structs.RequestStatus, error) {
	return call[structs.RequestStatus](ctx, c, http.MethodPost, address, PathCancel, CancelRequest{ID: id})
}

// Status asks what became of a request ID. With cancel set it does what Cancel does.
func (c *Client) Status(ctx context.Context, address string, id structs.RequestID, cancel bool) (structs.RequestStatus, error) {
	operation := PathRequests + url.PathEscape(string(id))
	if cancel {
		operation += "?" + QueryCancel + "=true"
	}
	return call[structs.RequestStatus](ctx, c, http.MethodGet, address, operation, nil)
}

// Order sends a fenced order. A refusal by the fence is a reply, not an error.
func (c *Client) Order(ctx context.Context, address string, order structs.Order) (structs.OrderReply, error) {
	return call[structs.OrderReply](ctx, c, http.MethodPost, address, PathOrders, order)
}

// Report reads the engine's lagging report.
func (c *Client) Report(ctx context.Context, address string) (structs.EngineReport, error) {
	return call[structs.EngineReport](ctx, c, http.MethodGet, address, PathReport, nil)
}

// Events reads the cache events after the given sequence.
func (c *Client) Events(ctx context.Context, address string, after uint64) (EventPage, error) {
	operation := PathEvents + "?" + QueryAfter + "=" + strconv.FormatUint(after, 10)
	return call[EventPage](ctx, c, http.MethodGet, address, operation, nil)
}

// Export reads the KV cache of a request.
func (c *Client) Export(ctx context.Context, address string, request ExportRequest) (KVCache, error) {
	return call[KVCache](ctx, c, http.MethodPost, address, PathExport, request)
}

// Import gives an engine the KV cache of a request that it will resume.
func (c *Client) Import(ctx context.Context, address string, cache KVCache) (ImportReply, error) {
	return call[ImportReply](ctx, c, http.MethodPost, address, PathImport, cache)
}

// Embeddings asks for one vector for each input.
func (c *Client) Embeddings(ctx context.Context, address string, request EmbeddingsRequest) (EmbeddingsReply, error) {
	reply, err := call[EmbeddingsReply](ctx, c, http.MethodPost, address, PathEmbeddings, request)
	if err != nil {
		return reply, err
	}
	if reply.ID != request.ID || len(reply.Vectors) != len(request.Inputs) {
		return EmbeddingsReply{}, &CallError{Stage: StageBroken, Operation: PathEmbeddings, Address: address,
			Status: http.StatusOK, Err: malformed("the answer is of another request or lacks vectors")}
	}
	return reply, nil
}

// Fetch reads a checkpoint from the weight store; it returns when all is read.
// Only ctx bounds its time.
func (c *Client) Fetch(ctx context.Context, address string, request FetchRequest) (FetchReply, error) {
	return callWith[FetchReply](ctx, c, c.fetches, http.MethodPost, address, PathStoreFetch, request)
}

// StoreState reads the state of the weight store.
func (c *Client) StoreState(ctx context.Context, address string) (StoreState, error) {
	return call[StoreState](ctx, c, http.MethodGet, address, PathStoreState, nil)
}

// Machines reads the machine list.
func (c *Client) Machines(ctx context.Context, address string) ([]structs.Machine, error) {
	return call[[]structs.Machine](ctx, c, http.MethodGet, address, PathMachineList, nil)
}

// MachineChanges reads what changed in the zone's part of the machine list after the
// version; the empty version asks for all of it. A platform that cannot tell changes
// sends the list, which is returned as a full one without a version.
func (c *Client) MachineChanges(ctx context.Context, address string, zone structs.ZoneID, since string) (MachineChanges, error) {
	query := url.Values{QueryZone: {string(zone)}, QuerySince: {since}}
	answer, err := call[machineAnswer](ctx, c, http.MethodGet, address, PathMachineList+"?"+query.Encode(), nil)
	changes := answer.MachineChanges
	changes.Machines = slices.DeleteFunc(changes.Machines, func(machine structs.Machine) bool { return machine.Zone != zone })
	return changes, err
}

// machineAnswer is the answer of a machine list: changes, or an array of machines.
type machineAnswer struct{ MachineChanges }

// UnmarshalJSON implements json.Unmarshaler.
func (a *machineAnswer) UnmarshalJSON(encoded []byte) error {
	if !bytes.HasPrefix(bytes.TrimSpace(encoded), []byte("[")) {
		return json.Unmarshal(encoded, &a.MachineChanges)
	}
	a.MachineChanges = MachineChanges{Full: true}
	return json.Unmarshal(encoded, &a.Machines)
}

// Leave marks a machine as leaving, or removes it from the list.
func (c *Client) Leave(ctx context.Context, address string, request LeaveRequest) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, address, PathMachineLeave, request)
	return err
}

// call makes one unary call within CallTimeout.
func call[Reply any](ctx context.Context, c *Client, method, address, operation string, body any) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return callWith[Reply](ctx, c, c.calls, method, address, operation, body)
}

// callWith makes one unary call over the given connections.
func callWith[Reply any](ctx context.Context, c *Client, client *http.Client, method, address, operation string, body any) (Reply, error) {
	create := func(ctx context.Context, body any) (*http.Request, error) {
		return newRequest(ctx, method, address, operation, body)
	}
	decode := func(_ context.Context, response *http.Response) (any, error) {
		reply, err := decodeReply[Reply](response.Body, c.options.MaxBody)
		if err != nil {
			return nil, &CallError{Stage: StageBroken, Operation: operation, Address: address, Status: response.StatusCode, Err: err}
		}
		return reply, nil
	}
	endpoint := kithttp.NewExplicitClient(create, decode, kithttp.SetClient(sender{client})).Endpoint()
	answer, err := endpoint(ctx, body)
	if err == nil {
		return answer.(Reply), nil
	}
	var zero Reply
	var failed *CallError
	if errors.As(err, &failed) {
		return zero, failed
	}
	return zero, &CallError{Stage: StageNotSent, Operation: operation, Address: address, Err: err}
}

// sender is the HTTP client of the go-kit client: it gives errors their stage.
type sender struct {
	client *http.Client
}

// Do implements the go-kit interface HTTPClient.
func (s sender) Do(request *http.Request) (*http.Response, error) { return do(s.client, request) }

// decodeReply reads one JSON value of at most limit bytes that fills the body.
func decodeReply[Reply any](body io.Reader, limit int64) (Reply, error) {
	var reply Reply
	encoded, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return reply, errors.Wrap(err, "read answer")
	}
	if int64(len(encoded)) > limit {
		return reply, malformed("the answer is too long")
	}
	if err := json.Unmarshal(encoded, &reply); err != nil {
		return reply, errors.Wrap(err, "decode answer")
	}
	return reply, nil
}
