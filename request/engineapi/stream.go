package engineapi

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/lotusferry/lotusferry/structs"
)

// drainBytes bounds what Close reads of a finished stream.
const drainBytes = 4 << 10

// Stream is the answer of an engine to one generate call. It is not safe for
// concurrent use; cancel the context of the call to end it from elsewhere.
type Stream struct {
	address string
	request structs.GenerateRequest
	body    io.ReadCloser
	decoder *TokenDecoder
	// response gives the trailer once the body has been read.
	response *http.Response
	cancel   context.CancelFunc
	drain    time.Duration
	next     int
	last     structs.Token
	repeats  int
	finish   structs.FinishReason
	err      error
}

// Next returns the next token. The token with a Finish is the last one: after a
// finish of stop or length Next returns io.EOF, after any other a *CallError. A
// body that ends before that, a token of another request, and a lost token are
// errors of StageBroken. An exact repeat of the token before is left out.
func (s *Stream) Next() (structs.Token, error) {
	if s.err != nil {
		return structs.Token{}, s.err
	}
	for {
		token, err := s.decoder.Next()
		if err == io.EOF {
			err = malformed("the stream ended without a finish")
		}
		if err != nil {
			return structs.Token{}, s.fail(err)
		}
		if s.repeats < maxRepeats && s.next > s.request.ResumeFrom && token == s.last {
			s.repeats++
			continue
		}
		if err := s.check(token); err != nil {
			return structs.Token{}, s.fail(err)
		}
		s.accept(token)
		return token, nil
	}
}

// maxRepeats bounds the repeated tokens that a stream leaves out.
const maxRepeats = 64

func (s *Stream) check(token structs.Token) error {
	if token.ID != s.request.ID {
		return malformed("the stream carries a token of another request")
	}
	if token.Index != s.next {
		return malformed("the stream lost or repeated a token")
	}
	if token.Index >= s.request.MaxTokens && token.Finish == "" {
		return malformed("the stream has more tokens than were asked for")
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

// Load returns the engine's newest load report of this stream: that of the
// trailer once the stream has been closed after its finish, else that of the
// header. The second result is false when there is none.
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

// Repeats returns how many repeated tokens were left out.
func (s *Stream) Repeats() int { return s.repeats }

// Close ends the stream. When it was not finished, the engine sees the
// connection end and cancels the request.
func (s *Stream) Close() error {
	if s.err == io.EOF {
		timer := time.AfterFunc(s.drain, s.cancel)
		_, _ = io.CopyN(io.Discard, s.decoder.reader, drainBytes)
		timer.Stop()
	}
	s.cancel()
	return s.body.Close()
}
