package emulator

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// Control paths by which tests and rehearsals drive an emulated engine. They are not
// part of the engine protocol.
const (
	PathFaults  = "/emulator/v1/faults"
	PathRestart = "/emulator/v1/restart"
	PathCrash   = "/emulator/v1/crash"
	PathRecords = "/emulator/v1/records"
)

// RestartRequest restarts an emulated engine.
type RestartRequest struct {
	// Incarnation is that of the restarted engine; 0 means the next one.
	Incarnation structs.Incarnation `json:"incarnation"`
}

// handler returns the handler of a path. Handlers are created per call so that idle
// engines hold none.
func (s *EngineServer) handler(path string) http.Handler {
	switch path {
	case engineapi.PathGenerate:
		return requireMethod(http.MethodPost, http.HandlerFunc(s.serveGenerate))
	case engineapi.PathCancel:
		return requireMethod(http.MethodPost, newHandler(decodeBody[engineapi.CancelRequest], s.serveCancel))
	case engineapi.PathOrders:
		return requireMethod(http.MethodPost, newHandler(decodeBody[structs.Order], s.serveOrder))
	case engineapi.PathReport:
		return requireMethod(http.MethodGet, newHandler(noBody, s.serveReport))
	case engineapi.PathEvents:
		return requireMethod(http.MethodGet, newHandler(decodeAfter, s.serveEvents))
	case engineapi.PathExport:
		return requireMethod(http.MethodPost, newHandler(decodeBody[engineapi.ExportRequest], s.serveExport))
	case engineapi.PathImport:
		return requireMethod(http.MethodPost, newHandler(decodeBody[engineapi.KVCache], s.serveImport))
	case engineapi.PathEmbeddings:
		return requireMethod(http.MethodPost, newHandler(decodeBody[engineapi.EmbeddingsRequest], s.serveEmbeddings))
	}
	if strings.HasPrefix(path, engineapi.PathRequests) {
		return requireMethod(http.MethodGet, newHandler(decodeStatus, s.serveStatus))
	}
	return s.controlHandler(path)
}

// controlHandler returns the handler of a control path.
func (s *EngineServer) controlHandler(path string) http.Handler {
	done := struct{}{}
	switch path {
	case PathFaults:
		return requireMethod(http.MethodPost, newHandler(decodeBody[EngineFaults], func(_ context.Context, faults EngineFaults) (struct{}, error) {
			s.SetFaults(faults)
			return done, nil
		}))
	case PathRestart:
		return requireMethod(http.MethodPost, newHandler(decodeBody[RestartRequest], func(_ context.Context, request RestartRequest) (struct{}, error) {
			s.Restart(request.Incarnation)
			return done, nil
		}))
	case PathCrash:
		return requireMethod(http.MethodPost, newHandler(noBody, func(context.Context, struct{}) (struct{}, error) {
			s.Crash()
			return done, nil
		}))
	case PathRecords:
		return requireMethod(http.MethodGet, newHandler(noBody, s.serveRecords))
	}
	return http.NotFoundHandler()
}

// statusQuery is a decoded status call.
type statusQuery struct {
	id     structs.RequestID
	cancel bool
}

func decodeStatus(r *http.Request) (statusQuery, error) {
	question := statusQuery{id: structs.RequestID(strings.TrimPrefix(r.URL.Path, engineapi.PathRequests))}
	if question.id == "" {
		return question, invalidRequest("the path has no request ID")
	}
	value := r.URL.Query().Get(engineapi.QueryCancel)
	if value == "" {
		return question, nil
	}
	cancel, err := strconv.ParseBool(value)
	if err != nil {
		return question, invalidRequest("the cancel flag is not a boolean")
	}
	question.cancel = cancel
	return question, nil
}

func decodeAfter(r *http.Request) (uint64, error) {
	value := r.URL.Query().Get(engineapi.QueryAfter)
	if value == "" {
		return 0, nil
	}
	after, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		return 0, invalidRequest("after is not a sequence number")
	}
	return after, nil
}

func (s *EngineServer) serveCancel(ctx context.Context, request engineapi.CancelRequest) (structs.RequestStatus, error) {
	if request.ID == "" {
		return structs.RequestStatus{}, invalidRequest("the body has no request ID")
	}
	return s.serveStatus(ctx, statusQuery{id: request.ID, cancel: true})
}

func (s *EngineServer) serveStatus(ctx context.Context, question statusQuery) (structs.RequestStatus, error) {
	output, err := s.ask(ctx, EngineInput{Kind: InputStatus, ID: question.id, Cancel: question.cancel})
	if err != nil {
		return structs.RequestStatus{}, err
	}
	return *output.Status, nil
}

func (s *EngineServer) serveOrder(ctx context.Context, order structs.Order) (structs.OrderReply, error) {
	output, err := s.ask(ctx, EngineInput{Kind: InputOrder, Order: order})
	if err != nil {
		return structs.OrderReply{}, err
	}
	return *output.Order, nil
}

func (s *EngineServer) serveReport(ctx context.Context, _ struct{}) (structs.EngineReport, error) {
	output, err := s.ask(ctx, EngineInput{Kind: InputReport})
	if err != nil {
		return structs.EngineReport{}, err
	}
	return *output.Report, nil
}

func (s *EngineServer) serveEvents(ctx context.Context, after uint64) (engineapi.EventPage, error) {
	output, err := s.ask(ctx, EngineInput{Kind: InputEvents, After: after})
	if err != nil {
		return engineapi.EventPage{}, err
	}
	return *output.Events, nil
}

func (s *EngineServer) serveExport(ctx context.Context, request engineapi.ExportRequest) (engineapi.KVCache, error) {
	output, err := s.ask(ctx, EngineInput{Kind: InputExport, ID: request.ID, Row: request.Row})
	if err != nil {
		return engineapi.KVCache{}, err
	}
	return *output.Cache, nil
}

func (s *EngineServer) serveImport(ctx context.Context, cache engineapi.KVCache) (engineapi.ImportReply, error) {
	output, err := s.ask(ctx, EngineInput{Kind: InputImport, Cache: cache})
	if err != nil {
		return engineapi.ImportReply{}, err
	}
	return *output.Import, nil
}

func (s *EngineServer) serveEmbeddings(ctx context.Context, request engineapi.EmbeddingsRequest) (engineapi.EmbeddingsReply, error) {
	output, err := s.ask(ctx, EngineInput{Kind: InputEmbeddings, Embeddings: request})
	if err != nil {
		return engineapi.EmbeddingsReply{}, err
	}
	return *output.Embeddings, nil
}

// serveRecords returns the current records. They survive a crash of the engine.
func (s *EngineServer) serveRecords(context.Context, struct{}) (Records, error) {
	var records Records
	s.Engine(func(engine *Engine, now time.Time) []EngineOutput {
		outputs := engine.Advance(now)
		records = engine.Records().Clone()
		return outputs
	})
	return records, nil
}
