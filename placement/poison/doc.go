// Package poison finds requests that crash the runners that run them, and says what
// becomes of those that come again.
package poison
