package operatorapi

import (
	"context"
	"encoding/json"
	stderrors "errors"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// Paths of the operations.
const (
	pathTable    = "/v1/table"
	pathEdits    = "/v1/table/edits"
	pathHistory  = "/v1/table/history"
	pathWatch    = "/v1/table/watch"
	pathStatus   = "/v1/status"
	pathDrains   = "/v1/drains"
	pathSnapshot = "/v1/snapshot"
	pathMembers  = "/v1/members"
)

// Query parameters.
const (
	parameterDryRun = "dry_run"
	parameterLimit  = "limit"
	parameterSince  = "since"
	parameterWait   = "wait"
	parameterGroup  = "group"
)

const (
	contentJSON   = "application/json; charset=utf-8"
	contentBinary = "application/octet-stream"
)

const (
	// MaximumWait is the longest wait of a Watch.
	MaximumWait = time.Minute
	// MaximumHistory is the maximum number of entries that History returns.
	MaximumHistory = 10000
	defaultHistory = 100
)

// editBody is the wire form of structs.Edit.
type editBody struct {
	ID      structs.EditID `json:"id"`
	Author  string         `json:"author,omitempty"`
	Comment string         `json:"comment,omitempty"`
	Changes []changeBody   `json:"changes"`
}

// changeBody is the wire form of structs.RowChange.
type changeBody struct {
	Row          structs.Row `json:"row"`
	Delete       bool        `json:"delete,omitempty"`
	BaseRevision uint64      `json:"base_revision"`
}

func newEditBody(edit structs.Edit) editBody {
	body := editBody{ID: edit.ID, Author: edit.Author, Comment: edit.Comment}
	for _, change := range edit.Changes {
		body.Changes = append(body.Changes, changeBody(change))
	}
	return body
}

func (b editBody) edit() structs.Edit {
	edit := structs.Edit{ID: b.ID, Author: b.Author, Comment: b.Comment}
	for _, change := range b.Changes {
		edit.Changes = append(edit.Changes, structs.RowChange(change))
	}
	return edit
}

// historyBody wraps the entries so that fields can be added later.
type historyBody struct {
	Entries []structs.HistoryEntry `json:"entries"`
}

// Decoded requests of the endpoints.
type (
	emptyRequest   struct{}
	historyRequest struct{ limit int }
	applyRequest   struct {
		edit   structs.Edit
		dryRun bool
	}
	snapshotRequest struct{ group string }
	watchRequest    struct {
		since uint64
		wait  time.Duration
	}
)

func decodeEmpty(context.Context, *http.Request) (any, error) { return emptyRequest{}, nil }

func decodeApply(_ context.Context, request *http.Request) (any, error) {
	dryRun, err := queryBool(request.URL.Query(), parameterDryRun)
	if err != nil {
		return nil, err
	}
	var body editBody
	if err := decodeBody(request.Body, &body); err != nil {
		return nil, err
	}
	if body.ID == "" {
		return nil, invalid("the edit has no ID", "Give each edit a new UUID, and keep it when retrying.")
	}
	if len(body.Changes) == 0 {
		return nil, invalid("the edit has no changes", "List at least one change.")
	}
	return applyRequest{edit: body.edit(), dryRun: dryRun}, nil
}

func decodeHistory(_ context.Context, request *http.Request) (any, error) {
	limit, err := queryUint(request.URL.Query(), parameterLimit, defaultHistory)
	if err != nil {
		return nil, err
	}
	if limit < 1 || limit > MaximumHistory {
		return nil, invalid("the limit is out of range", "Request 1 to "+strconv.Itoa(MaximumHistory)+" entries.")
	}
	return historyRequest{limit: int(limit)}, nil
}

func decodeWatch(_ context.Context, request *http.Request) (any, error) {
	query := request.URL.Query()
	since, err := queryUint(query, parameterSince, 0)
	if err != nil {
		return nil, err
	}
	wait := MaximumWait
	if text := query.Get(parameterWait); text != "" {
		wait, err = time.ParseDuration(text)
		if err != nil || wait < 0 {
			return nil, invalid("the wait "+strconv.Quote(text)+" is not a duration", "Write it as 30s.")
		}
	}
	return watchRequest{since: since, wait: min(wait, MaximumWait)}, nil
}

func decodeSnapshot(_ context.Context, request *http.Request) (any, error) {
	group := request.URL.Query().Get(parameterGroup)
	if group == "" {
		return nil, invalid("the snapshot request has no group", "Set global, or zone- followed by the zone's ID.")
	}
	return snapshotRequest{group: group}, nil
}

func decodeDrain(_ context.Context, request *http.Request) (any, error) {
	var drain DrainRequest
	if err := decodeBody(request.Body, &drain); err != nil {
		return nil, err
	}
	if (drain.Runner == "") == (drain.Daemon == "") {
		return nil, invalid("the drain request must name one runner or one daemon",
			"Set a runner ID from the machine list, or a daemon ID from the status.")
	}
	return drain, nil
}

// decodeBody decodes exactly one JSON value. It rejects unknown fields, because an
// older daemon must not silently ignore fields of a newer client.
func decodeBody(body io.Reader, into any) error {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	err := decoder.Decode(into)
	var tooLarge *http.MaxBytesError
	if stderrors.As(err, &tooLarge) {
		return structs.NewError(structs.ErrorLimit,
			"the request is larger than "+strconv.FormatInt(tooLarge.Limit, 10)+" bytes",
			"Split the edit, or raise limits.operator_body_bytes.")
	}
	if err != nil {
		return invalid("the request body is not valid: "+err.Error(), "Use lotusferryctl of the daemon's version.")
	}
	if decoder.More() {
		return invalid("the request has data after its JSON value", "Send one JSON value.")
	}
	return nil
}

func queryBool(query url.Values, name string) (bool, error) {
	text := query.Get(name)
	if text == "" {
		return false, nil
	}
	value, err := strconv.ParseBool(text)
	if err != nil {
		return false, invalid(name+" is neither true nor false", "Write true or false.")
	}
	return value, nil
}

func queryUint(query url.Values, name string, fallback uint64) (uint64, error) {
	text := query.Get(name)
	if text == "" {
		return fallback, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, invalid(name+" is not a non-negative integer", "Write digits only.")
	}
	return value, nil
}

func invalid(message, remedy string) error {
	return structs.NewError(structs.ErrorInvalid, message, remedy)
}

func encodeJSON(_ context.Context, writer http.ResponseWriter, response any) error {
	writer.Header().Set("Content-Type", contentJSON)
	return json.NewEncoder(writer).Encode(response)
}

func encodeBinary(_ context.Context, writer http.ResponseWriter, response any) error {
	content := response.([]byte)
	writer.Header().Set("Content-Type", contentBinary)
	writer.Header().Set("Content-Length", strconv.Itoa(len(content)))
	_, err := writer.Write(content)
	return err
}
