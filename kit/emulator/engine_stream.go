package emulator

import (
	"net/http"

	"github.com/pkg/errors"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// serveGenerate streams the tokens of a generate call as server-sent events. It uses
// net/http directly because a go-kit server encodes a response as a whole.
func (s *EngineServer) serveGenerate(w http.ResponseWriter, r *http.Request) {
	request, err := decodeBody[structs.GenerateRequest](r)
	if err != nil {
		writeError(r.Context(), err, w)
		return
	}
	call, queue := s.openCall(EngineInput{Kind: InputGenerate, Generate: request})
	stream := tokenStream{writer: w, controller: http.NewResponseController(w)}
	for {
		select {
		case <-queue.ready:
		case <-r.Context().Done():
			s.endCall(call, true)
			return
		}
		ended, err := stream.write(s.take(queue))
		if err != nil {
			s.endCall(call, true)
			panic(http.ErrAbortHandler)
		}
		if ended {
			s.endCall(call, false)
			return
		}
	}
}

// tokenStream writes the outputs of one generate call to the response.
type tokenStream struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	buffer     []byte
}

// write sends outputs and reports whether the response is complete. After an error the
// connection must be closed.
func (t *tokenStream) write(outputs []EngineOutput) (ended bool, err error) {
	t.buffer = t.buffer[:0]
	for _, output := range outputs {
		switch output.Kind {
		case OutputRefused:
			writeRefusal(t.writer, *output.Refusal)
			return true, nil
		case OutputAccepted:
			t.begin(output)
		case OutputToken:
			t.buffer, err = engineapi.AppendToken(t.buffer, output.Token)
			if err != nil {
				return false, err
			}
			if output.Token.Finish != "" {
				return true, t.finish(output)
			}
		case OutputReset:
			_, _ = t.writer.Write(t.buffer)
			_ = t.controller.Flush()
			return false, errReset
		}
	}
	if _, err := t.writer.Write(t.buffer); err != nil {
		return false, errors.Wrap(err, "write tokens")
	}
	return false, t.controller.Flush()
}

func (t *tokenStream) begin(output EngineOutput) {
	header := t.writer.Header()
	header.Set("Content-Type", engineapi.ContentTypeEvents)
	header.Set("Cache-Control", "no-store")
	header.Set("Trailer", engineapi.HeaderLoad)
	header.Set(engineapi.HeaderLoad, engineapi.EncodeLoad(*output.Load))
	t.writer.WriteHeader(http.StatusOK)
}

// finish writes the last tokens and sets the trailer. Both are flushed when the handler
// returns.
func (t *tokenStream) finish(output EngineOutput) error {
	_, err := t.writer.Write(t.buffer)
	if output.Load != nil {
		t.writer.Header().Set(engineapi.HeaderLoad, engineapi.EncodeLoad(*output.Load))
	}
	return err
}
