package emulator

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// maxAnswerTokens limits the max_tokens and resume_from of a request.
const maxAnswerTokens = 1 << 20

// sequence is one queued or running request.
type sequence struct {
	request structs.GenerateRequest
	call    CallID
	seed    uint64
	// length is the number of tokens of the complete answer; next is the index of the
	// next token to generate.
	length int
	next   int
	// stopped is set if a stop sequence ends the answer; cut is the length in bytes of
	// its last token.
	stopped bool
	cut     int
	// prefill is the number of tokens that remain to be prefilled.
	prefill int
	// reserved is the number of reserved KV blocks.
	reserved int
	// context holds the keys of the blocks before the first requested token.
	context   []uint64
	replica   *replica
	record    *requestRecord
	execution *Execution
	// arrivedAt is the time at which the engine accepted the request.
	arrivedAt time.Time
	// embeddings is the reply to an embeddings request, which bypasses the batch.
	embeddings *engineapi.EmbeddingsReply
	stalled    bool
	ended      bool
}

// batch is the continuous batch of an engine with its queues.
type batch struct {
	// queues hold the waiting requests by priority, in order of arrival.
	queues  [structs.PriorityCount][]*sequence
	running []*sequence
	// stalled is the number of accepted requests that never run.
	stalled int
	// reserved is the number of KV blocks reserved by running requests.
	reserved int
	stepping bool
	stepEnd  time.Time
	// rate is the token throughput of the last step, per second.
	rate float64
}

func (b *batch) queued() int {
	count := b.stalled
	for _, queue := range b.queues {
		count += len(queue)
	}
	return count
}

// remove removes a sequence from its queue or from the batch.
func (b *batch) remove(current *sequence) {
	if current.stalled {
		b.stalled--
		return
	}
	same := func(other *sequence) bool { return other == current }
	if current.execution != nil {
		b.running = slices.DeleteFunc(b.running, same)
		return
	}
	class := priorityClass(current.request.Priority)
	b.queues[class] = slices.DeleteFunc(b.queues[class], same)
}

func priorityClass(priority structs.Priority) int {
	return min(max(int(priority), 0), structs.PriorityCount-1)
}

// text returns the text of the next token. That of an embedding is the vector as JSON.
func (s *sequence) text() string {
	if !s.request.Embedding {
		text := tokenText(s.seed, s.next)
		if s.stopped && s.next == s.length-1 {
			return text[:s.cut]
		}
		return text
	}
	return ExpectedVectorText(s.request.Row, s.request.Prompt)
}

// truncateAtStop ends the answer before the first stop sequence within a token.
func (s *sequence) truncateAtStop() {
	if s.request.Sampling == nil {
		return
	}
	for index := range s.length {
		if cut := firstIndex(tokenText(s.seed, index), s.request.Sampling.Stop); cut >= 0 {
			s.length = index + 1
			s.stopped = true
			s.cut = cut
			return
		}
	}
}

// firstIndex returns the lowest index in text of any of the substrings, or -1.
func firstIndex(text string, texts []string) int {
	first := -1
	for _, sought := range texts {
		if at := strings.Index(text, sought); at >= 0 && (first < 0 || at < first) {
			first = at
		}
	}
	return first
}

func (s *sequence) finish() structs.FinishReason {
	if s.request.Embedding || s.stopped {
		return structs.FinishStop
	}
	return finishReason(s.seed, s.request.MaxTokens)
}

// generate queues a request or refuses it.
func (e *Engine) generate(call CallID, request structs.GenerateRequest) {
	target, refusal := e.checkGenerate(request)
	if refusal != nil {
		e.emit(EngineOutput{Kind: OutputRefused, Call: call, Refusal: refusal})
		return
	}
	current := &sequence{request: request, call: call, replica: target, next: request.ResumeFrom}
	current.seed = PromptHash(request.Row, request.Prompt)
	current.length = min(naturalLength(current.seed), request.MaxTokens)
	current.truncateAtStop()
	if request.Embedding {
		current.length = 1
	}
	e.register(current)
	target.pending++
	target.queued++
	e.emit(EngineOutput{Kind: OutputAccepted, Call: call, Load: e.currentLoad()})
	if e.occurs(e.faults.StallRate) {
		current.stalled = true
		e.batch.stalled++
		return
	}
	class := priorityClass(request.Priority)
	e.batch.queues[class] = append(e.batch.queues[class], current)
	if !e.batch.stepping {
		e.startStep()
	}
}

func (e *Engine) checkGenerate(request structs.GenerateRequest) (*replica, *structs.Rejection) {
	wrongTokens := request.MaxTokens <= 0 || request.MaxTokens > maxAnswerTokens
	wrongResume := request.ResumeFrom < 0 || request.ResumeFrom > maxAnswerTokens
	if request.ID == "" || wrongTokens || wrongResume {
		return nil, notRun(structs.NewError(structs.ErrorInvalid,
			"the request has no ID or an invalid number of tokens", "Set id, a positive max_tokens and a non-negative resume_from."))
	}
	if refusal := e.checkAdmission(request.ID, request.Incarnation, request.ResumeFrom > 0); refusal != nil {
		return nil, refusal
	}
	if e.reservation(request) > e.blockCapacity() {
		return nil, notRun(structs.NewError(structs.ErrorInvalid,
			"the request needs more KV cache than the engine has", "Shorten the prompt or lower max_tokens."))
	}
	target, refusal := e.servingReplica(request.Row)
	if refusal != nil {
		return nil, refusal
	}
	if e.batch.queued() >= e.options.MaxQueue {
		full := structs.NewError(structs.ErrorOverloaded, "the engine's queue is full", "Choose another replica or retry later.")
		full.RetryAfter = e.stepTime(e.options.MaxBatch, 0) * time.Duration(e.options.MaxBatch)
		return nil, notRun(full)
	}
	return target, nil
}

// reservation returns the number of KV blocks that a request may need.
func (e *Engine) reservation(request structs.GenerateRequest) int {
	tokens := engineapi.PromptTokens(request.Prompt) + max(request.MaxTokens, request.ResumeFrom)
	return (tokens + engineapi.BlockTokens - 1) / engineapi.BlockTokens
}

func (e *Engine) blockCapacity() int {
	return int(e.options.KVBytes / (e.options.KVBytesPerToken * engineapi.BlockTokens))
}

// startStep admits waiting requests to the batch and starts the next step.
func (e *Engine) startStep() {
	e.admit()
	e.batch.stepping = len(e.batch.running) > 0
	if !e.batch.stepping {
		e.batch.rate = 0
		return
	}
	budget := e.options.PrefillChunk
	emitting := 0
	for _, current := range e.batch.running {
		share := min(current.prefill, budget)
		current.prefill -= share
		budget -= share
		if current.prefill == 0 {
			emitting++
		}
	}
	duration := e.stepTime(len(e.batch.running), e.options.PrefillChunk-budget)
	e.batch.rate = float64(emitting) / duration.Seconds()
	e.batch.stepEnd = e.now.Add(duration)
}

// stepTime returns the duration of a step with the given numbers of running requests and
// prefilled tokens.
func (e *Engine) stepTime(running, prefill int) time.Duration {
	duration := e.options.DecodeBase
	duration += time.Duration(running) * e.options.DecodePerSequence
	duration += time.Duration(prefill) * e.options.PrefillPerToken
	return max(e.faults.slow(duration), 1)
}

// admit moves waiting requests to the batch in order of priority. A request that does
// not fit blocks all those behind it.
func (e *Engine) admit() {
	for class := structs.PriorityCount - 1; class >= 0; class-- {
		for len(e.batch.queues[class]) > 0 {
			current := e.batch.queues[class][0]
			needed := e.reservation(current.request)
			full := len(e.batch.running) >= e.options.MaxBatch
			if full || e.batch.reserved+needed > e.blockCapacity() {
				return
			}
			e.batch.queues[class][0] = nil
			e.batch.queues[class] = e.batch.queues[class][1:]
			current.reserved = needed
			e.batch.reserved += needed
			e.start(current)
		}
		e.batch.queues[class] = nil
	}
}

// start adds a sequence to the batch. Tokens found in the caches need no prefill.
func (e *Engine) start(current *sequence) {
	current.replica.queued--
	tokens := engineapi.PromptTokens(current.request.Prompt) + current.request.ResumeFrom
	current.context = contextBlocks(current.request, current.seed, current.request.ResumeFrom)
	covered := e.prefix.leading(current.context) * engineapi.BlockTokens
	covered = max(covered, e.imported.take(current.request, len(current.context), covered))
	current.prefill = tokens - covered
	e.begin(current, covered)
	e.batch.running = append(e.batch.running, current)
	e.fitPrefixCache()
	kv := int64(e.batch.reserved) * engineapi.BlockTokens * e.options.KVBytesPerToken
	e.records.PeakKV = max(e.records.PeakKV, kv)
}

// finishStep emits the tokens of the step and starts the next one.
func (e *Engine) finishStep() {
	emitting := make([]*sequence, 0, len(e.batch.running))
	for _, current := range e.batch.running {
		if current.prefill == 0 {
			emitting = append(emitting, current)
		}
	}
	if e.outputs == nil {
		e.outputs = make([]EngineOutput, 0, len(emitting))
	}
	for _, current := range emitting {
		if !current.ended {
			e.produce(current)
		}
		if e.crashed {
			return
		}
	}
	e.startStep()
}

// produce generates the next token of a sequence.
func (e *Engine) produce(current *sequence) {
	if current.next == current.request.ResumeFrom {
		e.cacheBlocks(current.request.Row, current.context)
	}
	token := structs.Token{ID: current.request.ID, Index: current.next}
	if current.next < current.length {
		token.Text = current.text()
	}
	current.next++
	current.record.status.Tokens = current.next
	current.execution.Emitted++
	e.records.Tokens++
	if current.next >= current.length {
		token.Finish = current.finish()
	}
	if !e.deliver(current, token) {
		return
	}
	if token.Finish != "" {
		e.batch.remove(current)
		e.cacheBlocks(current.request.Row, contextBlocks(current.request, current.seed, min(current.next, current.length)))
		e.endSequence(current, structs.RunFinished, token.Finish)
	}
}
