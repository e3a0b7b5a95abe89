package structs

// Sampling says how an engine chooses the tokens of an answer. What is nil or empty is
// the engine's default.
type Sampling struct {
	// Temperature is 0 to 2.
	Temperature *float64 `json:"temperature,omitempty"`
	// TopP is 0 to 1.
	TopP *float64 `json:"top_p,omitempty"`
	// FrequencyPenalty and PresencePenalty are -2 to 2.
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	// Seed makes the choice repeatable: an attempt that resumes an answer on another
	// engine goes on with the same tokens. Requests of callers always have one.
	Seed *int64 `json:"seed,omitempty"`
	// Stop ends the answer before the first of these texts.
	Stop []string `json:"stop,omitempty"`
}
