package api

import (
	"context"
	"net/http"
)

// statusTaken is the informational status that tells a forwarding router that its
// conditional request is executed.
const statusTaken = http.StatusProcessing

type takenContextKey struct{}

// withTaken lets sayTaken reach the connection of a conditional request.
func withTaken(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get(HeaderForwardIf) == "" {
			next.ServeHTTP(w, r)
			return
		}
		taken := func() { w.WriteHeader(statusTaken) }
		next.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), takenContextKey{}, taken)))
	})
}

// sayTaken tells the forwarding router at once that its request is executed.
func sayTaken(ctx context.Context) {
	if taken, ok := ctx.Value(takenContextKey{}).(func()); ok {
		taken()
	}
}
