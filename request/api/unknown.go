package api

import (
	"net/http"

	"github.com/lotusferry/lotusferry/structs"
)

// serveUnknown answers a path that the interface lacks as every other error is
// answered: clients read the message from the body.
func serveUnknown(w http.ResponseWriter, r *http.Request) {
	writeError(w, http.StatusNotFound, structs.NewError(structs.ErrorNotFound,
		"there is nothing at "+r.URL.Path,
		"Use "+pathChatCompletions+", "+pathCompletions+", "+pathEmbeddings+" or "+pathModels+"."))
}

// serveOnly answers a path that is called with another method than its own.
func serveOnly(method string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Allow", method)
		writeError(w, http.StatusMethodNotAllowed, structs.NewError(structs.ErrorInvalid,
			r.URL.Path+" does not take "+r.Method, "Call it with "+method+"."))
	}
}
