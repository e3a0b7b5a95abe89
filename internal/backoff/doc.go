// Package backoff computes the delays of retries.
package backoff
