package api

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/lotusferry/lotusferry/structs"
)

// generation is a decoded request with the options for encoding its answer.
type generation struct {
	request      structs.Request
	chat         bool
	stream       bool
	includeUsage bool
	promptTokens int
}

// maxKeyBytes is the maximum length of an idempotency key. Keys are stored in the zone log.
const maxKeyBytes = 200

// decoder decodes HTTP requests.
type decoder struct {
	options Options
}

func (d decoder) chat(_ context.Context, r *http.Request) (any, error) { return d.decode(r, true) }

func (d decoder) completion(_ context.Context, r *http.Request) (any, error) {
	return d.decode(r, false)
}

func (d decoder) decode(r *http.Request, chat bool) (generation, error) {
	body, err := readBody[generationBody](r, d.options.MaxBodyBytes)
	if err != nil {
		return generation{}, err
	}
	prompt, err := promptOf(body, chat)
	if err != nil {
		return generation{}, err
	}
	if body.N > 1 {
		return generation{}, invalid("n is above 1", "Send one request for each answer.")
	}
	if err := body.unsupportedBody.check(); err != nil {
		return generation{}, err
	}
	sampling, err := body.sampling()
	if err != nil {
		return generation{}, err
	}
	maxTokens, err := d.maxTokens(body)
	if err != nil {
		return generation{}, err
	}
	request, err := d.request(r, body.Model)
	if err != nil {
		return generation{}, err
	}
	request.Prompt = prompt
	request.MaxTokens = maxTokens
	request.Sampling = withSeed(sampling, request)
	return generation{
		request:      request,
		chat:         chat,
		stream:       body.Stream,
		includeUsage: body.StreamOptions != nil && body.StreamOptions.IncludeUsage,
		promptTokens: len(strings.Fields(prompt)),
	}, nil
}

// request returns a request with the fields common to generations and embeddings.
func (d decoder) request(r *http.Request, model string) (structs.Request, error) {
	if model == "" {
		return structs.Request{}, invalid("the request has no model", "Set \"model\" to a name from /v1/models.")
	}
	who := callerFrom(r.Context())
	now := d.options.Now()
	deadline, err := deadlineOf(r, d.options.DefaultDeadline, d.options.MaxDeadline)
	if err != nil {
		return structs.Request{}, err
	}
	priority, err := priorityOf(r, who)
	if err != nil {
		return structs.Request{}, err
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return structs.Request{}, invalid("the idempotency key is too long", "Use a key of at most 200 bytes, such as a UUID.")
	}
	return structs.Request{
		ID:             structs.RequestID(uuid.NewString()),
		Row:            structs.RowName(model),
		Priority:       priority,
		Caller:         who.name,
		ArrivedAt:      now,
		DeadlineAt:     now.Add(deadline),
		IdempotencyKey: key,
		Forwarded:      who.daemon,
		IfReady:        who.daemon && r.Header.Get(HeaderForwardIf) == ForwardIfReady,
	}, nil
}

func (d decoder) maxTokens(body generationBody) (int, error) {
	requested := body.MaxCompletionTokens
	if requested == 0 {
		requested = body.MaxTokens
	}
	if requested == 0 {
		return d.options.DefaultMaxTokens, nil
	}
	if requested < 0 || requested > d.options.MaxTokens {
		return 0, invalid("max_tokens is out of range", "Choose a value between 1 and the site's limit on answer length.")
	}
	return requested, nil
}

// readBody reads a JSON body of at most limit bytes.
func readBody[Body any](r *http.Request, limit int64) (Body, error) {
	var body Body
	raw, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return body, invalid("the body could not be read", "Send the whole body before the connection times out.")
	}
	if int64(len(raw)) > limit {
		return body, invalid("the body exceeds this site's size limit", "Shorten the prompt or ask the operators to raise limits.body_bytes.")
	}
	if err := json.Unmarshal(raw, &body); err != nil {
		return body, invalid("the body is not the expected JSON: "+err.Error(), "Send a request that follows the OpenAI API.")
	}
	return body, nil
}

func promptOf(body generationBody, chat bool) (string, error) {
	if chat {
		return chatPrompt(body.Messages)
	}
	var prompt string
	if err := json.Unmarshal(body.Prompt, &prompt); err != nil || prompt == "" {
		return "", invalid("prompt is missing or is not a string", "Set \"prompt\" to one non-empty string.")
	}
	return prompt, nil
}

func chatPrompt(messages []chatMessage) (string, error) {
	if len(messages) == 0 {
		return "", invalid("the request has no messages", "Add at least one message with a role and a content.")
	}
	var builder strings.Builder
	for _, message := range messages {
		text, err := contentText(message.Content)
		if err != nil {
			return "", err
		}
		builder.WriteString(message.Role)
		builder.WriteString(": ")
		builder.WriteString(text)
		builder.WriteByte('\n')
	}
	return builder.String(), nil
}

func contentText(content json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(content, &text); err == nil {
		return text, nil
	}
	var parts []contentPart
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", invalid("a message's content is neither a string nor a list of parts", "Send text content.")
	}
	var builder strings.Builder
	for _, part := range parts {
		if part.Type != "text" {
			return "", invalid("a message has an unsupported part of type "+part.Type, "Send text parts only.")
		}
		builder.WriteString(part.Text)
	}
	return builder.String(), nil
}

func deadlineOf(r *http.Request, defaultDeadline, maxDeadline time.Duration) (time.Duration, error) {
	value := r.Header.Get(HeaderDeadline)
	if value == "" {
		return defaultDeadline, nil
	}
	deadline, err := time.ParseDuration(value)
	if err != nil || deadline <= 0 || deadline > maxDeadline {
		return 0, invalid("the deadline "+value+" is not a duration within this site's limit",
			"Set "+HeaderDeadline+" to a duration such as 1500ms, at most "+maxDeadline.String()+".")
	}
	return deadline, nil
}

// priorityNames maps values of HeaderPriority to priorities.
var priorityNames = map[string]structs.Priority{
	"":         structs.PriorityStandard,
	"batch":    structs.PriorityBatch,
	"standard": structs.PriorityStandard,
	"live":     structs.PriorityLive,
}

// priorityOf returns the priority in the header of the request. Without the header
// it is the lower of standard and the caller's highest priority.
func priorityOf(r *http.Request, who caller) (structs.Priority, error) {
	value := r.Header.Get(HeaderPriority)
	priority, known := priorityNames[value]
	if !known {
		return 0, invalid("the priority "+value+" is unknown", "Set "+HeaderPriority+" to batch, standard or live.")
	}
	if value == "" {
		return min(priority, who.highest), nil
	}
	if priority > who.highest {
		return 0, structs.NewError(structs.ErrorDenied, "the priority "+value+" is above the highest priority allowed to this caller",
			"Set "+HeaderPriority+" to "+priorityLabel(who.highest)+" at most, or have the operators raise the caller's priority.")
	}
	return priority, nil
}

func invalid(message, remedy string) *structs.Error {
	return structs.NewError(structs.ErrorInvalid, message, remedy)
}
