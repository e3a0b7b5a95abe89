package api

import (
	"net/http"

	"github.com/lotusferry/lotusferry/structs"
)

// serveNotFound responds to requests for unknown paths.
func serveNotFound(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, structs.NewError(structs.ErrorNotFound,
		"unknown path "+r.URL.Path,
		"Use "+pathChatCompletions+", "+pathCompletions+", "+pathEmbeddings+" or "+pathModels+"."))
}

// serveMethodNotAllowed returns a handler for methods other than the allowed one.
func serveMethodNotAllowed(method string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", method)
		writeError(w, http.StatusMethodNotAllowed, structs.NewError(structs.ErrorInvalid,
			r.URL.Path+" does not support "+r.Method, "Call it with "+method+"."))
	}
}
