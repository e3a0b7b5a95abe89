package emulator

import (
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// requestRecord is the state of a request ID.
type requestRecord struct {
	status structs.RequestStatus
	// refused tells that further requests with this ID are refused.
	refused bool
	// sequence is set while the request is queued or running.
	sequence *sequence
}

// live reports whether the request is queued or running.
func (r *requestRecord) live() bool {
	return r.status.State == structs.RunQueued || r.status.State == structs.RunRunning
}

// requestRegister holds the records of request IDs and expires them after the retention
// time.
type requestRegister struct {
	byID   map[structs.RequestID]*requestRecord
	byCall map[CallID]*sequence
	ended  []endedRequest
}

type endedRequest struct {
	at     time.Time
	record *requestRecord
}

func (r *requestRegister) put(id structs.RequestID, record *requestRecord) {
	if r.byID == nil {
		r.byID = make(map[structs.RequestID]*requestRecord)
	}
	r.byID[id] = record
}

func (r *requestRegister) attach(call CallID, current *sequence) {
	if r.byCall == nil {
		r.byCall = make(map[CallID]*sequence)
	}
	r.byCall[call] = current
}

// expire drops the records that ended before the given time, except those that a later
// request with the same ID has replaced.
func (r *requestRegister) expire(before time.Time) {
	count := 0
	for count < len(r.ended) && r.ended[count].at.Before(before) {
		record := r.ended[count].record
		if r.byID[record.status.ID] == record {
			delete(r.byID, record.status.ID)
		}
		count++
	}
	if count > 0 {
		clear(r.ended[:count])
		r.ended = r.ended[count:]
	}
}

func (e *Engine) scheduleExpiry(record *requestRecord) {
	e.requests.ended = append(e.requests.ended, endedRequest{at: e.now, record: record})
	e.requests.expire(e.now.Add(-e.options.IDRetention))
}

// status returns the status of a request ID. If cancel is set, it also stops the request
// and refuses further requests with this ID.
func (e *Engine) status(call CallID, id structs.RequestID, cancel bool) {
	record := e.requests.byID[id]
	if cancel {
		record = e.cancel(id)
	}
	status := structs.RequestStatus{ID: id, State: structs.RunUnknown, Incarnation: e.incarnation}
	if record != nil {
		status = record.status
	}
	e.emit(EngineOutput{Kind: OutputStatus, Call: call, Status: &status})
}

// cancel stops the request and refuses further requests with its ID.
func (e *Engine) cancel(id structs.RequestID) *requestRecord {
	record := e.requests.byID[id]
	if record == nil {
		record = &requestRecord{status: structs.RequestStatus{ID: id, State: structs.RunUnknown, Incarnation: e.incarnation}}
		e.requests.put(id, record)
		e.scheduleExpiry(record)
	}
	record.refused = true
	if record.sequence != nil {
		e.stop(record.sequence, true)
	}
	return record
}

// disconnect stops the request of a call whose caller has disconnected.
func (e *Engine) disconnect(call CallID) {
	if current := e.requests.byCall[call]; current != nil {
		e.stop(current, false)
	}
}

// stop ends a queued or running sequence early. If notify is set, the caller gets a
// final token or a refusal.
func (e *Engine) stop(current *sequence, notify bool) {
	e.batch.remove(current)
	if notify && current.embeddings == nil {
		token := structs.Token{ID: current.request.ID, Index: current.next, Finish: structs.FinishCancelled}
		e.emit(EngineOutput{Kind: OutputToken, Call: current.call, Token: token, Load: e.currentLoad()})
	}
	if notify && current.embeddings != nil {
		e.refuse(current.call, "", structs.NewError(structs.ErrorUnavailable, "the request was cancelled", "Send the request under a new ID."))
	}
	e.endSequence(current, structs.RunCancelled, structs.FinishCancelled)
}

// checkAdmission checks a new request against the register. It returns nil if the
// request may run.
func (e *Engine) checkAdmission(id structs.RequestID, incarnation structs.Incarnation, resume bool) *structs.Rejection {
	if incarnation != 0 && incarnation != e.incarnation {
		return notRun(structs.NewError(structs.ErrorUnavailable,
			"the engine has another incarnation", "Refresh the placement and choose another replica."))
	}
	record := e.requests.byID[id]
	if record == nil {
		return nil
	}
	refusal := notRun(structs.NewError(structs.ErrorConflict,
		"the request ID was cancelled on this engine", "Send the request under a new ID."))
	if record.status.Started {
		refusal.Execution = structs.ExecutionUnknown
	}
	if record.refused {
		return refusal
	}
	if record.live() && !resume {
		refusal.Error = *structs.NewError(structs.ErrorConflict,
			"the request ID is queued or running on this engine", "Query its status, or resume it from the first missing token.")
		refusal.Execution = structs.ExecutionUnknown
		return refusal
	}
	return nil
}

func notRun(err *structs.Error) *structs.Rejection {
	return &structs.Rejection{Error: *err, Execution: structs.ExecutionNotRun}
}

// refuse responds to a call with an error. An empty execution means that the request ran
// or may have run.
func (e *Engine) refuse(call CallID, execution structs.Execution, err *structs.Error) {
	e.emit(EngineOutput{Kind: OutputRefused, Call: call, Refusal: &structs.Rejection{Error: *err, Execution: execution}})
}

// register adds the record of an accepted request. A live request with the same ID is
// cancelled, since its caller resumes it.
func (e *Engine) register(current *sequence) {
	id := current.request.ID
	if earlier := e.requests.byID[id]; earlier != nil && earlier.sequence != nil {
		e.stop(earlier.sequence, true)
	}
	record := &requestRecord{sequence: current}
	if earlier := e.requests.byID[id]; earlier != nil {
		record.status.Started = earlier.status.Started
	}
	record.status.ID = id
	record.status.State = structs.RunQueued
	record.status.Incarnation = e.incarnation
	record.status.Tokens = current.request.ResumeFrom
	current.record = record
	current.arrivedAt = e.now
	e.requests.put(id, record)
	e.requests.attach(current.call, current)
}

// begin records the start of a sequence.
func (e *Engine) begin(current *sequence, cached int) {
	current.record.status.State = structs.RunRunning
	current.record.status.Started = true
	current.execution = &Execution{
		ID:          current.request.ID,
		Row:         current.request.Row,
		PromptHash:  current.seed,
		Incarnation: e.incarnation,
		ResumeFrom:  current.request.ResumeFrom,
		ArrivedAt:   current.arrivedAt,
		StartedAt:   e.now,
		Cached:      cached,
	}
	e.records.Executions = appendLimited(e.records.Executions, current.execution, e.options.RecordLimit, &e.records.Dropped)
	e.occupy(current, 1)
}

// endSequence updates the records for a sequence that has left the queue or the batch.
func (e *Engine) endSequence(current *sequence, state structs.RunState, finish structs.FinishReason) {
	current.ended = true
	delete(e.requests.byCall, current.call)
	record := current.record
	record.status.State = state
	record.status.Finish = finish
	record.sequence = nil
	if current.execution != nil {
		e.endExecution(current, finish)
		e.occupy(current, -1)
	}
	e.batch.reserved -= current.reserved
	current.reserved = 0
	e.scheduleExpiry(record)
	e.releaseReplica(current)
}

func (e *Engine) endExecution(current *sequence, finish structs.FinishReason) {
	if current.execution == nil {
		return
	}
	current.execution.EndedAt = e.now
	current.execution.Finish = finish
}

// embed runs an embeddings request outside the batch.
func (e *Engine) embed(call CallID, request engineapi.EmbeddingsRequest) {
	refusal := e.checkAdmission(request.ID, request.Incarnation, false)
	var target *replica
	if refusal == nil {
		target, refusal = e.servingReplica(request.Row)
	}
	if refusal != nil {
		e.emit(EngineOutput{Kind: OutputRefused, Call: call, Refusal: refusal})
		return
	}
	tokens := 0
	reply := engineapi.EmbeddingsReply{ID: request.ID, Vectors: make([][]float32, 0, len(request.Inputs))}
	for _, input := range request.Inputs {
		tokens += engineapi.PromptTokens(input)
		reply.Vectors = append(reply.Vectors, ExpectedVector(request.Row, input))
	}
	current := &sequence{call: call, replica: target, embeddings: &reply}
	current.request.ID = request.ID
	current.request.Row = request.Row
	if len(request.Inputs) > 0 {
		current.seed = PromptHash(request.Row, request.Inputs[0])
	}
	e.register(current)
	target.pending++
	e.begin(current, 0)
	duration := e.options.DecodeBase + time.Duration(tokens)*e.options.PrefillPerToken
	e.after(e.faults.slow(duration), func() { e.finishEmbeddings(current) })
}

func (e *Engine) finishEmbeddings(current *sequence) {
	if current.ended {
		return
	}
	e.emit(EngineOutput{Kind: OutputEmbeddings, Call: current.call, Embeddings: current.embeddings})
	e.endSequence(current, structs.RunFinished, structs.FinishStop)
}
