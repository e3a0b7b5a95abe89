// Package config holds the settings of one daemon: a strict YAML file, flags
// that override it, and checks that report every problem together, each with
// the key, the value, what is wrong and what to do about it.
//
// Addresses are IP numbers with a port; names are never resolved. Durations are
// written as in Go ("50ms", "24h"). Sizes are in bytes.
package config
