package api

// Paths of the HTTP API.
const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
	pathEmbeddings      = "/v1/embeddings"
	pathModels          = "/v1/models"
)

// Headers of the HTTP API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the deadline as a Go duration ("1500ms", "5s") after arrival.
	HeaderDeadline = "Lotusferry-Deadline"
	// HeaderPriority is the priority: batch, standard or live.
	HeaderPriority = "Lotusferry-Priority"
	// HeaderForwarded names the zone whose router forwarded the request.
	HeaderForwarded = "Lotusferry-Forwarded"
	// HeaderCaller names the caller of a forwarded request. Like HeaderForwarded it
	// is read only when another daemon sent the request.
	HeaderCaller = "Lotusferry-Caller"
	// HeaderForwardIf set to ForwardIfReady makes a forwarded request conditional: it
	// is refused as not_run immediately unless a ready replica has capacity for it. An
	// accepted request is answered immediately with the informational status 102. The
	// header is read only when another daemon sent the request.
	HeaderForwardIf = "Lotusferry-Forward-If"
	// ForwardIfReady is the value of HeaderForwardIf.
	ForwardIfReady = "ready"
	// HeaderExecution is a structs.Execution that tells whether a refused request ran.
	HeaderExecution = "Lotusferry-Execution"
	// HeaderRequestID is the ID that the router assigned to the request.
	HeaderRequestID = "Lotusferry-Request-Id"
	// HeaderShouldRetry set to "false" disables automatic retries in OpenAI clients.
	HeaderShouldRetry = "X-Should-Retry"
)
