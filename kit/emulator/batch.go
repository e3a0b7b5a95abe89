package emulator

import (
	"slices"
	"strings"
	"time"

	"github.com/lotusferry/lotusferry/request/engineapi"
	"github.com/lotusferry/lotusferry/structs"
)

// maxAnswerTokens bounds what a request may ask for.
const maxAnswerTokens = 1 << 20

// sequence is one request in the queue or in the batch.
type sequence struct {
	request structs.GenerateRequest
	call    CallID
	seed    uint64
	// length is the number of tokens of the whole answer; next the index of the
	// next one to be produced.
	length int
	next   int
	// stopped is set when a stop text ends the answer, cut bytes into its last token.
	stopped bool
	cut     int
	// prefill counts the tokens still to be prefilled.
	prefill int
	// reserved counts the KV blocks reserved.
	reserved int
	// context are the keys of the blocks before the first token wanted.
	context   []uint64
	replica   *replica
	record    *requestRecord
	execution *Execution
	// arrivedAt is when the engine took the request.
	arrivedAt time.Time
	// embeddings is set for a request for embeddings, which is not in the batch.
	embeddings *engineapi.EmbeddingsReply
	stalled    bool
	ended      bool
}

// batch is the continuous batch of an engine and the queue before it.
type batch struct {
	// queues hold the waiting requests of each priority, in the order of arrival.
	queues  [structs.PriorityCount][]*sequence
	running []*sequence
	// stalled counts the requests that were accepted and never run.
	stalled int
	// reserved counts the KV blocks reserved by the running requests.
	reserved int
	stepping bool
	stepEnd  time.Time
	// rate is the tokens a second of the last step.
	rate float64
}

func (b *batch) queued() int {
	count := b.stalled
	for _, queue := range b.queues {
		count += len(queue)
	}
	return count
}

// remove takes a sequence out of its queue or out of the batch.
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
	class := classOf(current.request.Priority)
	b.queues[class] = slices.DeleteFunc(b.queues[class], same)
}

func classOf(priority structs.Priority) int {
	return min(max(int(priority), 0), structs.PriorityCount-1)
}

// text returns the text of the next token: a vector as JSON for an embedding.
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

// stopAt ends the answer at the first token that holds one of the stop texts, before it.
func (s *sequence) stopAt() {
	if s.request.Sampling == nil {
		return
	}
	for index := range s.length {
		if cut := firstOf(tokenText(s.seed, index), s.request.Sampling.Stop); cut >= 0 {
			s.length = index + 1
			s.stopped = true
			s.cut = cut
			return
		}
	}
}

// firstOf returns where the first of the texts begins in text, or -1.
func firstOf(text string, texts []string) int {
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

// generate takes a request: it is refused at once or put into the queue.
func (e *Engine) generate(call CallID, request structs.GenerateRequest) {
	target, refusal := e.checkGenerate(request)
	if refusal != nil {
		e.emit(EngineOutput{Kind: OutputRefused, Call: call, Refusal: refusal})
		return
	}
	current := &sequence{request: request, call: call, replica: target, next: request.ResumeFrom}
	current.seed = PromptHash(request.Row, request.Prompt)
	current.length = min(naturalLength(current.seed), request.MaxTokens)
	current.stopAt()
	if request.Embedding {
		current.length = 1
	}
	e.register(current)
	target.pending++
	target.queued++
	e.emit(EngineOutput{Kind: OutputAccepted, Call: call, Load: e.currentLoad()})
	if e.happens(e.faults.StallRate) {
		current.stalled = true
		e.batch.stalled++
		return
	}
	class := classOf(request.Priority)
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
			"the request lacks an ID or has a wrong number of tokens", "Set id, max_tokens above 0 and resume_from from 0."))
	}
	if refusal := e.admissible(request.ID, request.Incarnation, request.ResumeFrom > 0); refusal != nil {
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
		full := structs.NewError(structs.ErrorOverloaded, "the engine's queue is full", "Choose another replica or come back later.")
		full.RetryAfter = e.stepTime(e.options.MaxBatch, 0) * time.Duration(e.options.MaxBatch)
		return nil, notRun(full)
	}
	return target, nil
}

// reservation returns the KV blocks that a request may come to need.
func (e *Engine) reservation(request structs.GenerateRequest) int {
	tokens := engineapi.PromptTokens(request.Prompt) + max(request.MaxTokens, request.ResumeFrom)
	return (tokens + engineapi.BlockTokens - 1) / engineapi.BlockTokens
}

func (e *Engine) blockCapacity() int {
	return int(e.options.KVBytes / (e.options.KVBytesPerToken * engineapi.BlockTokens))
}

// startStep admits waiting requests into the batch and begins the next step.
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

// stepTime returns how long a step takes with so many requests and prompt tokens.
func (e *Engine) stepTime(running, prefill int) time.Duration {
	duration := e.options.DecodeBase
	duration += time.Duration(running) * e.options.DecodePerSequence
	duration += time.Duration(prefill) * e.options.PrefillPerToken
	return max(e.faults.slow(duration), 1)
}

// admit moves waiting requests into the batch, highest priority first. The first
// one that does not fit waits for room, and all after it.
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
			e.enter(current)
		}
		e.batch.queues[class] = nil
	}
}

// enter puts a sequence into the batch: what the caches cover needs no prefill.
func (e *Engine) enter(current *sequence) {
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

// finishStep emits the tokens of the step and begins the next one.
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
		if e.dead {
			return
		}
	}
	e.startStep()
}

// produce makes the next token of a sequence.
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
