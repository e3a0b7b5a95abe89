// Package pause waits for a time that a context may cut short. Loops that look again,
// or try again, wait with it, so that each of them ends with its context.
package pause
