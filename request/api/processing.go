package api

import (
	"context"
	"net/http"
)

// statusProcessing is the informational status that tells a forwarding router that its
// conditional request was accepted.
const statusProcessing = http.StatusProcessing

type processingContextKey struct{}

// withProcessing stores the function that sendProcessing calls in the context of
// conditional requests.
func withProcessing(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderForwardIf) == "" {
			next.ServeHTTP(w, r)
			return
		}
		notify := func() { w.WriteHeader(statusProcessing) }
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), processingContextKey{}, notify)))
	})
}

// sendProcessing tells the forwarding router that its request was accepted.
func sendProcessing(ctx context.Context) {
	if notify, ok := ctx.Value(processingContextKey{}).(func()); ok {
		notify()
	}
}
