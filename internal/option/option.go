// Package option fills the fields of options that were left out.
package option

import "cmp"

// Default sets a field that is zero.
func Default[T comparable](field *T, standard T) {
	var zero T
	if *field == zero {
		*field = standard
	}
}

// Positive sets a field that is not above zero.
func Positive[T cmp.Ordered](field *T, standard T) {
	var zero T
	if *field <= zero {
		*field = standard
	}
}
