package wellformed

import (
	"errors"
	"fmt"
	"strings"
)

// ErrMalformed means that a response is not one that RFC 9110 and RFC 9112 allow.
var ErrMalformed = errors.New("the response is malformed")

func malformed(format string, arguments ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, arguments...)...)
}

const (
	minStatus = 100
	// minFinalStatus is the lowest status of a final response, and maxStatus the highest of any (RFC 9110, section 15).
	minFinalStatus = 200
	maxStatus      = 599
)

// tokenSymbols are the characters of a token besides letters and digits (RFC 9110, section 5.6.2).
const tokenSymbols = "!#$%&'*+-.^_`|~"

// isToken reports whether the text is a token, as names of fields must be.
func isToken[T string | []byte](text T) bool {
	for i := range len(text) {
		if !isTokenByte(text[i]) {
			return false
		}
	}
	return len(text) > 0
}

func isTokenByte(each byte) bool {
	return isDigit(each) || 'a' <= each && each <= 'z' || 'A' <= each && each <= 'Z' || strings.IndexByte(tokenSymbols, each) >= 0
}

func isDigit(each byte) bool { return '0' <= each && each <= '9' }

// isTextByte reports whether a byte may stand in the value of a field or in a reason phrase.
func isTextByte(each byte) bool { return each == '\t' || each >= ' ' && each != 0x7f }
