package engineapi

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// maxLoadHeader bounds the Engine-Load header in bytes.
const maxLoadHeader = 1 << 10

// EncodeLoad returns the value of HeaderLoad. A report that JSON cannot carry
// (a rate that is not a number) gives an empty value, which readers skip.
func EncodeLoad(load structs.LoadReport) string {
	encoded, err := json.Marshal(load)
	if err != nil {
		return ""
	}
	return string(encoded)
}

// DecodeLoad reads a value of HeaderLoad.
func DecodeLoad(value string) (structs.LoadReport, error) {
	var load structs.LoadReport
	if len(value) > maxLoadHeader {
		return load, errors.Errorf("load header of %d bytes is over %d: check the engine's version", len(value), maxLoadHeader)
	}
	if err := json.Unmarshal([]byte(value), &load); err != nil {
		return structs.LoadReport{}, errors.Wrap(err, "decode load header")
	}
	return load, nil
}
