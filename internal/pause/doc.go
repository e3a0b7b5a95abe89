// Package pause provides a sleep that a context can cancel, for polling and retry loops.
package pause
