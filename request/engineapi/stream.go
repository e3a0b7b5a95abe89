package engineapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// drainBytes is the maximum number of bytes that Close reads from a finished stream.
const drainBytes = 4 << 10

// Stream is the token stream of a Generate call. It is not safe for concurrent use;
// another goroutine may end it by cancelling the context of the call.
type Stream struct {
	address string
	request structs.GenerateRequest
	body    io.ReadCloser
	decoder *TokenDecoder
	// response contains the trailer once the body has been read.
	response     *http.Response
	cancel       context.CancelFunc
	drainTimeout time.Duration
	next         int
	last         structs.Token
	repeats      int
	finish       structs.FinishReason
	err          error
}

// Next returns the next token. The last token has a Finish reason. After it Next
// returns io.EOF if the reason is stop or length, and a *CallError otherwise. An early
// end of the body, a token of another request and a missing token are errors with
// StageBroken. Exact repeats of the previous token are skipped.
func (s *Stream) Next() (structs.Token, error) {
	if s.err != nil {
		return structs.Token{}, s.err
	}
	for {
		token, err := s.decoder.Next()
		if err == io.EOF {
			err = malformed("the stream ended without a finish reason")
		}
		if err != nil {
			return structs.Token{}, s.fail(err)
		}
		if s.repeats < maxRepeats && s.next > s.request.ResumeFrom && token == s.last {
			s.repeats++
			continue
		}
		if err := s.validate(token); err != nil {
			return structs.Token{}, s.fail(err)
		}
		s.accept(token)
		return token, nil
	}
}

// maxRepeats is the maximum number of repeated tokens that a stream skips.
const maxRepeats = 64

func (s *Stream) validate(token structs.Token) error {
	if token.ID != s.request.ID {
		return malformed("the stream contains a token of another request")
	}
	if token.Index != s.next {
		return malformed("the stream lost or repeated a token")
	}
	if token.Index >= s.request.MaxTokens && token.Finish == "" {
		return malformed("the stream has more tokens than requested")
	}
	return nil
}

func (s *Stream) accept(token structs.Token) {
	s.last = token
	s.next++
	s.finish = token.Finish
	switch token.Finish {
	case "":
	case structs.FinishStop, structs.FinishLength:
		s.err = io.EOF
	default:
		s.err = s.callError(structs.NewError(structs.ErrorUnavailable,
			"the engine ended the stream with "+string(token.Finish), "Resume the request on another replica."))
	}
}

func (s *Stream) fail(err error) error {
	s.err = s.callError(err)
	return s.err
}

func (s *Stream) callError(err error) *CallError {
	return &CallError{
		Stage:     StageBroken,
		Operation: PathGenerate,
		Address:   s.address,
		Status:    s.response.StatusCode,
		Err:       err,
	}
}

// Load returns the latest load report received with this stream: that of the trailer
// if the stream has finished and been closed, otherwise that of the header. The second
// result is false if there is none.
func (s *Stream) Load() (structs.LoadReport, bool) {
	value := s.response.Header.Get(HeaderLoad)
	if s.finish != "" {
		if trailer := s.response.Trailer.Get(HeaderLoad); trailer != "" {
			value = trailer
		}
	}
	if value == "" {
		return structs.LoadReport{}, false
	}
	load, err := DecodeLoad(value)
	return load, err == nil
}

// Repeats returns the number of repeated tokens that were skipped.
func (s *Stream) Repeats() int { return s.repeats }

// Close closes the stream. If the stream is not finished, this closes the connection,
// and the engine cancels the request.
func (s *Stream) Close() error {
	if s.err == io.EOF {
		timer := time.AfterFunc(s.drainTimeout, s.cancel)
		_, _ = io.CopyN(io.Discard, s.decoder.reader, drainBytes)
		timer.Stop()
	}
	s.cancel()
	return s.body.Close()
}
