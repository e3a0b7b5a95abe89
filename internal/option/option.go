// Package option sets default values of option fields.
package option

import "cmp"

// Default sets *field to value if it is zero.
func Default[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Positive sets *field to value if it is not positive.
func Positive[T cmp.Ordered](field *T, value T) {
	var zero T
	if *field <= zero {
		*field = value
	}
}
