package engineapi

import (
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/structs"
)

// maxLoadHeader is the maximum length of HeaderLoad in bytes.
const maxLoadHeader = 1 << 10

// EncodeLoad returns the value of HeaderLoad, or an empty value, which readers ignore,
// if JSON cannot represent the report (such as a NaN rate).
func EncodeLoad(load structs.LoadReport) string {
	encoded, err := json.Marshal(load)
	if err != nil {
		return ""
	}
	return string(encoded)
}

// DecodeLoad parses a value of HeaderLoad.
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
