package api

import (
	"context"
	"crypto/subtle"
	"net/http"
	"strings"

	"github.com/lotusferry/lotusferry/internal/keys"
	"github.com/lotusferry/lotusferry/structs"
)

// caller identifies the sender of a request.
type caller struct {
	name    string
	highest structs.Priority
	// daemon reports whether another daemon forwarded the request.
	daemon bool
}

// anonymousCaller is the caller name used when no API keys are configured.
const anonymousCaller = "anonymous"

type callerContextKey struct{}

func callerFrom(ctx context.Context) caller {
	if known, ok := ctx.Value(callerContextKey{}).(caller); ok {
		return known
	}
	return caller{name: anonymousCaller, highest: structs.PriorityLive}
}

// authenticate admits daemons and callers with a known API key, and stores the
// caller in the request context.
func authenticate(next http.Handler, options Options) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		who, known := identify(r, options)
		if !known {
			writeError(w, http.StatusUnauthorized, structs.NewError(structs.ErrorDenied,
				"the API key is missing or unknown", "Send the key that the operators gave you as a bearer token."))
			return
		}
		ctx := context.WithValue(r.Context(), callerContextKey{}, who)
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

func identify(r *http.Request, options Options) (caller, bool) {
	forwarded := r.Header.Get(HeaderForwarded) != ""
	if forwarded && options.FromDaemon != nil && options.FromDaemon(r) {
		return forwardedCaller(r), true
	}
	var known []CallerKey
	if options.Keys != nil {
		known = options.Keys()
	}
	if len(known) == 0 {
		return caller{name: anonymousCaller, highest: structs.PriorityLive}, true
	}
	return callerByKey(r, known)
}

// forwardedCaller returns the caller named by a forwarding daemon, which has
// already checked the priority.
func forwardedCaller(r *http.Request) caller {
	name := r.Header.Get(HeaderCaller)
	if name == "" {
		name = anonymousCaller
	}
	return caller{name: name, highest: structs.PriorityLive, daemon: true}
}

func callerByKey(r *http.Request, known []CallerKey) (caller, bool) {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !found {
		return caller{}, false
	}
	presented := keys.HashAPIKey(token)
	var who caller
	matched := false
	for _, key := range known {
		if subtle.ConstantTimeCompare(presented[:], key.Hash[:]) == 1 {
			who, matched = caller{name: key.Name, highest: key.Highest}, true
		}
	}
	return who, matched
}
