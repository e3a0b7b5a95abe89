package api

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/lotusferry/lotusferry/structs"
)

const (
	maxTemperature = 2
	maxPenalty     = 2
	// maxStops and maxStopBytes limit the stop strings that every token is compared with.
	maxStops     = 4
	maxStopBytes = 256
)

// samplingBody holds the sampling parameters that are passed to the engine.
type samplingBody struct {
	Temperature      *float64 `json:"temperature,omitempty"`
	TopP             *float64 `json:"top_p,omitempty"`
	FrequencyPenalty *float64 `json:"frequency_penalty,omitempty"`
	PresencePenalty  *float64 `json:"presence_penalty,omitempty"`
	Seed             *int64   `json:"seed,omitempty"`
	Stop             stopList `json:"stop,omitempty"`
}

// stopList is decoded from null, one string or a list of strings.
type stopList []string

// UnmarshalJSON implements json.Unmarshaler.
func (l *stopList) UnmarshalJSON(data []byte) error {
	*l = nil
	if string(data) == "null" {
		return nil
	}
	var one string
	if err := json.Unmarshal(data, &one); err == nil {
		*l = stopList{one}
		return nil
	}
	return json.Unmarshal(data, (*[]string)(l))
}

// sampling validates the parameters and returns nil if none is set.
func (b samplingBody) sampling() (*structs.Sampling, error) {
	ranges := []struct {
		name      string
		value     *float64
		low, high float64
	}{
		{"temperature", b.Temperature, 0, maxTemperature},
		{"top_p", b.TopP, 0, 1},
		{"frequency_penalty", b.FrequencyPenalty, -maxPenalty, maxPenalty},
		{"presence_penalty", b.PresencePenalty, -maxPenalty, maxPenalty},
	}
	set := b.Seed != nil || len(b.Stop) > 0
	for _, field := range ranges {
		if field.value == nil {
			continue
		}
		set = true
		if *field.value < field.low || *field.value > field.high {
			return nil, invalid(fmt.Sprintf("%s %g is out of range", field.name, *field.value),
				fmt.Sprintf("Set \"%s\" to %g to %g, or leave it out.", field.name, field.low, field.high))
		}
	}
	if err := b.Stop.check(); err != nil || !set {
		return nil, err
	}
	return &structs.Sampling{
		Temperature: b.Temperature, TopP: b.TopP,
		FrequencyPenalty: b.FrequencyPenalty, PresencePenalty: b.PresencePenalty,
		Seed: b.Seed, Stop: b.Stop,
	}, nil
}

// withSeed sets a seed if there is none, so that an attempt that resumes the answer on
// another engine generates the same tokens. The seed is derived from the idempotency
// key if there is one, because retries must have the same content.
func withSeed(sampling *structs.Sampling, request structs.Request) *structs.Sampling {
	if sampling == nil {
		sampling = &structs.Sampling{}
	}
	if sampling.Seed == nil {
		source := request.IdempotencyKey
		if source == "" {
			source = string(request.ID)
		}
		seed := int64(xxhash.Sum64String(source) >> 1) // not negative: some engines reject negative seeds
		sampling.Seed = &seed
	}
	return sampling
}

func (l stopList) check() error {
	if len(l) > maxStops {
		return invalid("there are too many stop strings", fmt.Sprintf("Set \"stop\" to at most %d strings.", maxStops))
	}
	for _, text := range l {
		if text == "" || len(text) > maxStopBytes {
			return invalid("a stop string is empty or too long", fmt.Sprintf("Set \"stop\" to strings of 1 to %d bytes.", maxStopBytes))
		}
	}
	return nil
}

// samplingBodyOf is the inverse of sampling, used to forward a request.
func samplingBodyOf(sampling *structs.Sampling) samplingBody {
	if sampling == nil {
		return samplingBody{}
	}
	return samplingBody{
		Temperature: sampling.Temperature, TopP: sampling.TopP,
		FrequencyPenalty: sampling.FrequencyPenalty, PresencePenalty: sampling.PresencePenalty,
		Seed: sampling.Seed, Stop: sampling.Stop,
	}
}
