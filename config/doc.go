// Package config loads and validates the settings of one daemon: a strict YAML
// file and flags that override it. Validation reports all problems together, each
// with its key, value, description and remedy.
//
// Addresses are IP addresses with a port; host names are never resolved. Durations
// use Go syntax ("50ms", "24h"). Sizes are in bytes.
package config
