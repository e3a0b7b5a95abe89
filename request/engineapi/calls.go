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

// Cancel cancels the request and makes the engine refuse its ID from then on. It
// returns the state after cancellation; structs.RunUnknown means that the engine had
// not received the ID.
func (c *Client) Cancel(ctx context.Context, address string, id structs.RequestID) (structs.RequestStatus, error) {
	return call[structs.RequestStatus](ctx, c, http.MethodPost, address, PathCancel, CancelRequest{ID: id})
}

// Status returns the state of a request. If cancel is set, it also cancels the request
// as Cancel does.
func (c *Client) Status(ctx context.Context, address string, id structs.RequestID, cancel bool) (structs.RequestStatus, error) {
	operation := PathRequests + url.PathEscape(string(id))
	if cancel {
		operation += "?" + QueryCancel + "=true"
	}
	return call[structs.RequestStatus](ctx, c, http.MethodGet, address, operation, nil)
}

// Order sends a fenced order. Rejection by the fence is a reply, not an error.
func (c *Client) Order(ctx context.Context, address string, order structs.Order) (structs.OrderReply, error) {
	return call[structs.OrderReply](ctx, c, http.MethodPost, address, PathOrders, order)
}

// Report returns the engine's latest report, which may be stale.
func (c *Client) Report(ctx context.Context, address string) (structs.EngineReport, error) {
	return call[structs.EngineReport](ctx, c, http.MethodGet, address, PathReport, nil)
}

// Events returns the cache events after the given sequence number.
func (c *Client) Events(ctx context.Context, address string, after uint64) (EventPage, error) {
	operation := PathEvents + "?" + QueryAfter + "=" + strconv.FormatUint(after, 10)
	return call[EventPage](ctx, c, http.MethodGet, address, operation, nil)
}

// Export returns the KV cache of a request.
func (c *Client) Export(ctx context.Context, address string, request ExportRequest) (KVCache, error) {
	return call[KVCache](ctx, c, http.MethodPost, address, PathExport, request)
}

// Import sends the KV cache of a request to the engine that will resume it.
func (c *Client) Import(ctx context.Context, address string, cache KVCache) (ImportReply, error) {
	return call[ImportReply](ctx, c, http.MethodPost, address, PathImport, cache)
}

// Embeddings returns one vector for each input.
func (c *Client) Embeddings(ctx context.Context, address string, request EmbeddingsRequest) (EmbeddingsReply, error) {
	reply, err := call[EmbeddingsReply](ctx, c, http.MethodPost, address, PathEmbeddings, request)
	if err != nil {
		return reply, err
	}
	if reply.ID != request.ID || len(reply.Vectors) != len(request.Inputs) {
		return EmbeddingsReply{}, &CallError{Stage: StageBroken, Operation: PathEmbeddings, Address: address,
			Status: http.StatusOK, Err: malformed("the reply has another request ID or number of vectors")}
	}
	return reply, nil
}

// Fetch reads a checkpoint from the weight store and returns when the read is complete.
// It has no timeout other than that of ctx.
func (c *Client) Fetch(ctx context.Context, address string, request FetchRequest) (FetchReply, error) {
	return callWith[FetchReply](ctx, c, c.fetches, http.MethodPost, address, PathStoreFetch, request)
}

// StoreState returns the state of the weight store.
func (c *Client) StoreState(ctx context.Context, address string) (StoreState, error) {
	return call[StoreState](ctx, c, http.MethodGet, address, PathStoreState, nil)
}

// Machines returns the machine list.
func (c *Client) Machines(ctx context.Context, address string) ([]structs.Machine, error) {
	return call[[]structs.Machine](ctx, c, http.MethodGet, address, PathMachineList, nil)
}

// MachineChanges returns the changes of the zone's machines since the given version, or
// all its machines if the version is empty. The reply of a platform without support
// for changes is returned as a full list without a version.
func (c *Client) MachineChanges(ctx context.Context, address string, zone structs.ZoneID, since string) (MachineChanges, error) {
	query := url.Values{QueryZone: {string(zone)}, QuerySince: {since}}
	answer, err := call[machineListReply](ctx, c, http.MethodGet, address, PathMachineList+"?"+query.Encode(), nil)
	changes := answer.MachineChanges
	changes.Machines = slices.DeleteFunc(changes.Machines, func(machine structs.Machine) bool { return machine.Zone != zone })
	return changes, err
}

// machineListReply is a machine list reply: a MachineChanges or an array of machines.
type machineListReply struct{ MachineChanges }

// UnmarshalJSON implements json.Unmarshaler.
func (a *machineListReply) UnmarshalJSON(encoded []byte) error {
	if !bytes.HasPrefix(bytes.TrimSpace(encoded), []byte("[")) {
		return json.Unmarshal(encoded, &a.MachineChanges)
	}
	a.MachineChanges = MachineChanges{Full: true}
	return json.Unmarshal(encoded, &a.Machines)
}

// Leave marks a machine as leaving or removes it from the machine list.
func (c *Client) Leave(ctx context.Context, address string, request LeaveRequest) error {
	_, err := call[struct{}](ctx, c, http.MethodPost, address, PathMachineLeave, request)
	return err
}

// call makes a unary call with CallTimeout.
func call[Reply any](ctx context.Context, c *Client, method, address, operation string, body any) (Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.options.CallTimeout)
	defer cancel()
	return callWith[Reply](ctx, c, c.calls, method, address, operation, body)
}

// callWith makes a unary call with the given HTTP client.
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

// sender adapts do to the HTTP client interface of go-kit, so that errors have a Stage.
type sender struct {
	client *http.Client
}

// Do implements the HTTPClient interface of go-kit.
func (s sender) Do(request *http.Request) (*http.Response, error) { return do(s.client, request) }

// decodeReply decodes a body of at most limit bytes that is one JSON value.
func decodeReply[Reply any](body io.Reader, limit int64) (Reply, error) {
	var reply Reply
	encoded, err := io.ReadAll(io.LimitReader(body, limit+1))
	if err != nil {
		return reply, errors.Wrap(err, "read reply")
	}
	if int64(len(encoded)) > limit {
		return reply, malformed("the reply is too long")
	}
	if err := json.Unmarshal(encoded, &reply); err != nil {
		return reply, errors.Wrap(err, "decode reply")
	}
	return reply, nil
}
