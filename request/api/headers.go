package api

// The paths of the callers' interface.
const (
	pathChatCompletions = "/v1/chat/completions"
	pathCompletions     = "/v1/completions"
	pathEmbeddings      = "/v1/embeddings"
	pathModels          = "/v1/models"
)

// The headers of the callers' interface.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is a Go duration ("1500ms", "5s") from arrival.
	HeaderDeadline = "Lotusferry-Deadline"
	// HeaderPriority is batch, standard or live.
	HeaderPriority = "Lotusferry-Priority"
	// HeaderForwarded names the zone whose router forwarded the request.
	HeaderForwarded = "Lotusferry-Forwarded"
	// HeaderCaller names the caller of a forwarded request. Like HeaderForwarded it
	// is read only when another daemon sent the request.
	HeaderCaller = "Lotusferry-Caller"
	// HeaderForwardIf set to ForwardIfReady makes a forwarded request conditional: it
	// is refused as not_run at once unless a ready replica has room for it now. One
	// that is taken is answered at once with the informational status 102. It is read
	// only when another daemon sent the request.
	HeaderForwardIf = "Lotusferry-Forward-If"
	// ForwardIfReady is the value of HeaderForwardIf.
	ForwardIfReady = "ready"
	// HeaderExecution says whether a refused request ran: a structs.Execution.
	HeaderExecution = "Lotusferry-Execution"
	// HeaderRequestID is the ID under which the router knows the request.
	HeaderRequestID = "Lotusferry-Request-Id"
	// HeaderShouldRetry is understood by the OpenAI clients: "false" stops their own retries.
	HeaderShouldRetry = "X-Should-Retry"
)
