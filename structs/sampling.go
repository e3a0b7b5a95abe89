package structs

// Sampling is how an engine chooses the tokens of an answer. Nil or empty fields stand
// for the engine's defaults.
type Sampling struct {
	// Temperature is between 0 and 2.
	Temperature *float64 `json:"temperature,omitempty"`
	// TopP is between 0 and 1.
	TopP *float64 `json:"top_p,omitempty"`
	// FrequencyPenalty and PresencePenalty are between -2 and 2.
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	// Seed makes sampling reproducible, so that an attempt that resumes an answer on
	// another engine continues with the same tokens. Callers' requests always have one.
	Seed *int64 `json:"seed,omitempty"`
	// Stop ends the answer before the first of these texts.
	Stop []string `json:"stop,omitempty"`
}
