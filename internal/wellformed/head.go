package wellformed

import (
	"bytes"
	"net/http"
	"strings"
)

const (
	// maxStartBytes is how much of a line is kept: more than a status line up to its reason, or a field of framing, has.
	maxStartBytes = 256

	fieldLength   = "Content-Length"
	fieldEncoding = "Transfer-Encoding"
)

// headChecker checks the heads of the responses to one request, interim ones included, as their bytes arrive. The zero value expects
// no response.
type headChecker struct {
	// isReading is set until the final head has ended.
	isReading bool
	// start is how the current line begins, isEmpty whether it has no byte, and problem what is wrong in it.
	start   []byte
	problem error
	// endsLine is set after a CR, which must be followed by LF.
	endsLine bool
	head     head
}

// head is what is known of a head.
type head struct {
	// lines counts its lines.
	lines  int
	status int
	// isOld is set for HTTP/1.0.
	isOld                  bool
	hasLength, hasEncoding bool
	// announcesBody is set if its length is not 0.
	announcesBody bool
}

// expect starts with the first head.
func (c *headChecker) expect() {
	*c = headChecker{isReading: true, start: c.start[:0]}
}

// check checks the bytes that have arrived. A problem in a line is reported at its end.
func (c *headChecker) check(arrived []byte) error {
	for len(arrived) > 0 && c.isReading {
		line, rest, isEnded := bytes.Cut(arrived, []byte("\n"))
		c.addToLine(line)
		if !isEnded {
			return nil
		}
		arrived = rest
		if err := c.endLine(); err != nil {
			return err
		}
	}
	return nil
}

// addToLine adds bytes without LF to the current line.
func (c *headChecker) addToLine(part []byte) {
	for _, each := range part {
		if c.problem == nil && (c.endsLine || each != '\r' && !isTextByte(each)) {
			c.problem = malformed("a control byte in a line")
		}
		c.endsLine = each == '\r'
		if !c.endsLine && len(c.start) < maxStartBytes {
			c.start = append(c.start, each)
		}
	}
}

// endLine checks the current line and begins the next one.
func (c *headChecker) endLine() error {
	line, problem := c.start, c.problem
	c.start, c.problem, c.endsLine = c.start[:0], nil, false
	c.head.lines++
	switch {
	case problem != nil:
		return problem
	case c.head.lines == 1:
		return c.head.readStatusLine(string(line))
	case len(line) == 0:
		return c.endHead()
	case line[0] == ' ' || line[0] == '\t':
		// The value of the field before goes on, which is obsolete, but allowed to be read (RFC 9112, section 5.2).
		return nil
	}
	return c.head.readField(line)
}

// endHead checks the whole head. Another one follows an interim response.
func (c *headChecker) endHead() error {
	ended := c.head
	c.head = head{}
	c.isReading = ended.status < minFinalStatus && ended.status != http.StatusSwitchingProtocols
	return ended.check()
}

// readStatusLine reads the first line of a head. Several blanks between its parts are allowed (RFC 9112, section 4).
func (h *head) readStatusLine(line string) error {
	version, rest, _ := strings.Cut(line, " ")
	minor, isHTTP1 := strings.CutPrefix(version, "HTTP/1.")
	if !isHTTP1 || len(minor) != 1 || !isDigit(minor[0]) {
		return malformed("%q is no status line of HTTP/1", line)
	}
	h.isOld = minor == "0"
	status, _, _ := strings.Cut(strings.TrimLeft(rest, " "), " ")
	if len(status) != 3 {
		return malformed("%q is no status", status)
	}
	for i := range len(status) {
		if !isDigit(status[i]) {
			return malformed("%q is no status", status)
		}
		h.status = 10*h.status + int(status[i]-'0')
	}
	if h.status < minStatus || h.status > maxStatus {
		return malformed("the status %s is out of range", status)
	}
	return nil
}

// readField reads the line of a field, which may be cut after maxStartBytes.
func (h *head) readField(line []byte) error {
	name, value, _ := bytes.Cut(line, []byte(":"))
	if !isToken(name) {
		return malformed("%q is no name of a field", name)
	}
	switch {
	case strings.EqualFold(string(name), fieldLength):
		h.hasLength = true
		h.announcesBody = h.announcesBody || strings.Trim(string(value), "0 \t") != ""
	case strings.EqualFold(string(name), fieldEncoding):
		h.hasEncoding = true
	}
	return nil
}

// check checks what the fields say together of the body.
func (h *head) check() error {
	hasNoBody := h.status < minFinalStatus || h.status == http.StatusNoContent
	switch {
	case h.hasEncoding && h.hasLength:
		return malformed("it has both %s and %s", fieldEncoding, fieldLength)
	case h.hasEncoding && h.isOld:
		return malformed("it is of HTTP/1.0 and has %s", fieldEncoding)
	case hasNoBody && (h.hasEncoding || h.announcesBody):
		return malformed("the status %d announces a body", h.status)
	}
	return nil
}
