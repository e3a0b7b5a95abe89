package wellformed

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	qt "github.com/frankban/quicktest"

	"github.com/lotusferry/lotusferry/internal/network"
	"github.com/lotusferry/lotusferry/internal/network/networktest"
)

const (
	okLine  = "HTTP/1.1 200 OK\r\n"
	chunked = "Transfer-Encoding: chunked\r\n"
	aBody   = "Content-Length: 4\r\n\r\nbody"
	// inChunks is aBody in chunks, without the end of the trailers.
	inChunks = chunked + "\r\n4\r\nbody\r\n0\r\n"
	interim  = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
)

// malformedHeads are responses whose heads are not allowed, by what is wrong with them.
var malformedHeads = map[string]string{
	"status 000":                         "HTTP/1.1 000 None\r\n" + aBody,
	"status 099":                         "HTTP/1.1 099 None\r\n" + aBody,
	"status 600":                         "HTTP/1.1 600 None\r\n" + aBody,
	"status 999":                         "HTTP/1.1 999 None\r\n" + aBody,
	"status with a sign":                 "HTTP/1.1 +20 None\r\n" + aBody,
	"negative status":                    "HTTP/1.1 -00 None\r\n" + aBody,
	"status of two digits":               "HTTP/1.1 20 OK\r\n" + aBody,
	"status of four digits":              "HTTP/1.1 2000 OK\r\n" + aBody,
	"no status":                          "HTTP/1.1 \r\n" + aBody,
	"switching protocols":                "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n",
	"interim status 000":                 "HTTP/1.1 000 None\r\n\r\n" + okLine + aBody,
	"HTTP/2.0":                           "HTTP/2.0 200 OK\r\n" + aBody,
	"HTTP/0.9":                           "HTTP/0.9 200 OK\r\n" + aBody,
	"HTTP/1.10":                          "HTTP/1.10 200 OK\r\n" + aBody,
	"another protocol":                   "HTTQ/1.1 200 OK\r\n" + aBody,
	"control byte in the reason":         "HTTP/1.1 200 O\x01K\r\n" + aBody,
	"NUL in the reason":                  "HTTP/1.1 200 O\x00K\r\n" + aBody,
	"blank line before":                  "\r\n" + okLine + aBody,
	"blank in a name":                    okLine + "X Odd: 1\r\n" + aBody,
	"blank after a name":                 okLine + "X-Odd : 1\r\n" + aBody,
	"blank after the length":             okLine + "Content-Length : 4\r\n\r\nbody and more",
	"blank after the encoding":           okLine + "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"tab after a name":                   okLine + "X-Odd\t: 1\r\n" + aBody,
	"blank before the first name":        okLine + " X-Odd: 1\r\n" + aBody,
	"control byte in a name":             okLine + "X\x01Odd: 1\r\n" + aBody,
	"DEL in a name":                      okLine + "X\x7fOdd: 1\r\n" + aBody,
	"slash in a name":                    okLine + "X/Odd: 1\r\n" + aBody,
	"letter beyond ASCII in a name":      okLine + "X-Öd: 1\r\n" + aBody,
	"empty name":                         okLine + ": 1\r\n" + aBody,
	"no colon":                           okLine + "X-Odd\r\n" + aBody,
	"bare CR in a name":                  okLine + "X\rOdd: 1\r\n" + aBody,
	"bare CR in a value":                 okLine + "X-Odd: 1\r2\r\n" + aBody,
	"control byte in a value":            okLine + "X-Odd: \x01\r\n" + aBody,
	"NUL in a value":                     okLine + "X-Odd: \x00\r\n" + aBody,
	"control byte in a continued value":  okLine + "X-Odd: 1\r\n \x01\r\n" + aBody,
	"blank in a name of an interim one":  "HTTP/1.1 103 Early Hints\r\nX Odd: 1\r\n\r\n" + okLine + aBody,
	"control byte in an interim one":     "HTTP/1.1 102 Processing\r\nX-Odd: \x01\r\n\r\n" + okLine + aBody,
	"interim one of another protocol":    "HTTP/2.0 102 Processing\r\n\r\n" + okLine + aBody,
	"interim one with a body":            "HTTP/1.1 102 Processing\r\n" + aBody + okLine + aBody,
	"interim one in chunks":              "HTTP/1.1 102 Processing\r\n" + inChunks + "\r\n" + okLine + aBody,
	"blank in a name of the second one":  interim + "HTTP/1.1 102 Processing\r\nX Odd: 1\r\n\r\n" + okLine + aBody,
	"blank in a name after interim ones": interim + interim + okLine + "X Odd: 1\r\n" + aBody,
	"length and encoding":                okLine + "Content-Length: 4\r\n" + inChunks + "\r\n",
	"encoding and length":                okLine + chunked + "content-length: 4\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	"encoding in HTTP/1.0":               "HTTP/1.0 200 OK\r\n" + inChunks + "\r\n",
	"encoding that is not known":         okLine + "Transfer-Encoding: other\r\n\r\nbody",
	"encoding without chunks":            okLine + "Transfer-Encoding: identity\r\n\r\nbody",
	"no content, with a length":          "HTTP/1.1 204 No Content\r\n" + aBody,
	"no content, in chunks":              "HTTP/1.1 204 No Content\r\n" + inChunks + "\r\n",
	"two lengths":                        okLine + "Content-Length: 5\r\n" + aBody,
	"list of lengths":                    okLine + "Content-Length: 4, 4\r\n\r\nbody",
	"length with a sign":                 okLine + "Content-Length: +4\r\n\r\nbody",
	"empty length":                       okLine + "Content-Length:\r\n\r\nbody",
}

// malformedTrailers are whole responses but for their trailers.
var malformedTrailers = map[string]string{
	"blank in a name of a trailer":   okLine + inChunks + "X Odd: 1\r\n\r\n",
	"blank after a trailer's name":   okLine + inChunks + "X-Odd : 1\r\n\r\n",
	"control byte in a trailer":      okLine + inChunks + "X-Odd: \x01\r\n\r\n",
	"control byte in trailer's name": okLine + inChunks + "X\x01Odd: 1\r\n\r\n",
	"length in a trailer":            okLine + inChunks + "Content-Length: 4\r\n\r\n",
	"encoding in a trailer":          okLine + inChunks + "Transfer-Encoding: chunked\r\n\r\n",
	"announced trailer with a blank": okLine + "Trailer: X Odd\r\n" + inChunks + "\r\n",
}

// allowed are responses that are read, and have the body "body" unless they can have none.
var allowed = map[string]string{
	"length":                       okLine + aBody,
	"chunks":                       okLine + inChunks + "\r\n",
	"chunks with a trailer":        okLine + "Trailer: X-Sum\r\n" + inChunks + "X-Sum: 1\r\n\r\n",
	"chunks, trailer not told":     okLine + inChunks + "X-Sum: 1\r\n\r\n",
	"end of the connection":        okLine + "\r\nbody",
	"HTTP/1.0":                     "HTTP/1.0 200 OK\r\n\r\nbody",
	"HTTP/1.0 with a length":       "HTTP/1.0 200 OK\r\n" + aBody,
	"interim responses":            interim + "HTTP/1.1 102 Processing\r\n\r\n" + okLine + aBody,
	"bare LF":                      "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody",
	"no reason":                    "HTTP/1.1 200 \r\n" + aBody,
	"no reason and no blank":       "HTTP/1.1 200\r\n" + aBody,
	"two blanks":                   "HTTP/1.1  200 OK\r\n" + aBody,
	"reason beyond ASCII":          "HTTP/1.1 200 Grüß\r\n" + aBody,
	"long reason":                  "HTTP/1.1 200 " + strings.Repeat("x", 2*maxStartBytes) + "\r\n" + aBody,
	"status without a name":        "HTTP/1.1 299 Odd\r\n" + aBody,
	"continued value":              okLine + "X-Odd: 1\r\n\t2\r\n" + aBody,
	"empty value":                  okLine + "X-Odd:\r\n" + aBody,
	"value beyond ASCII":           okLine + "X-Odd: Grüß\t\xff\r\n" + aBody,
	"long name":                    okLine + strings.Repeat("x", 2*maxStartBytes) + ": 1\r\n" + aBody,
	"long value":                   okLine + "X-Odd: " + strings.Repeat("x", 8<<10) + "\r\n" + aBody,
	"symbols in a name":            okLine + tokenSymbols + ": 1\r\n" + aBody,
	"the same length twice":        okLine + "Content-Length: 4\r\n" + aBody,
	"failure":                      "HTTP/1.1 599 Odd\r\n" + aBody,
	"no content":                   "HTTP/1.1 204 No Content\r\n\r\n",
	"no content, with no length":   "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n",
	"not modified, with a length":  "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n",
	"extensions of chunks":         okLine + chunked + "\r\n4;a=b\r\nbody\r\n0;c\r\n\r\n",
	"head of a response in a body": okLine + "Content-Length: 4\r\n\r\nbodyHTTP/9.9 000\r\nX Odd: 1\r\n\r\n",
}

// get sends a GET to a server that sends the text, in parts of at most size bytes, and closes the connection. It returns the body.
func get(t *testing.T, text string, size int, wrap func(network.DialFunc) network.DialFunc) (body string, err error) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		memory := networktest.NewMemory(0)
		listener, listenErr := memory.Listen(t.Context(), "10.0.0.1:80")
		qt.Assert(t, listenErr, qt.IsNil)
		go func() {
			conn, acceptErr := listener.Accept()
			if acceptErr != nil {
				return
			}
			defer conn.Close()
			if _, readErr := http.ReadRequest(bufio.NewReader(conn)); readErr == nil {
				sendInParts(conn, text, size)
			}
		}()
		base := &http.Transport{DialContext: wrap(memory.DialContext)}
		defer base.CloseIdleConnections()
		request, requestErr := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://10.0.0.1:80/", nil)
		qt.Assert(t, requestErr, qt.IsNil)
		response, sendErr := Transport{base}.RoundTrip(request)
		if err = sendErr; err == nil {
			var read []byte
			read, err = io.ReadAll(response.Body)
			body = string(read)
			_ = response.Body.Close()
		}
		_ = listener.Close()
	})
	return body, err
}

func sendInParts(conn net.Conn, text string, size int) {
	for len(text) > 0 {
		part := text[:min(size, len(text))]
		text = text[len(part):]
		_, _ = io.WriteString(conn, part)
		synctest.Wait()
	}
}

// plain is the dial function without checks of bytes.
func plain(dial network.DialFunc) network.DialFunc { return dial }

// Guards against responses that are not allowed and are read, perhaps with a body that their sender did not mean (MIXED).
func TestMalformedResponsesFail(t *testing.T) {
	for name, text := range malformedHeads {
		for _, size := range []int{1, 7, len(text)} {
			t.Run(fmt.Sprintf("%s, parts of %d", name, size), func(t *testing.T) {
				body, err := get(t, text, size, Dial)
				qt.Assert(t, err, qt.IsNotNil, qt.Commentf("read %q", body))
				qt.Assert(t, body, qt.Equals, "")
			})
		}
	}
	for name, text := range malformedTrailers {
		t.Run(name, func(t *testing.T) {
			for _, wrap := range []func(network.DialFunc) network.DialFunc{Dial, plain} {
				_, err := get(t, text, len(text), wrap)
				qt.Assert(t, err, qt.IsNotNil)
			}
		})
	}
}

// The names and the status of the final response are checked also where the bytes are not seen, as with TLS.
func TestParsedHeadsAreChecked(t *testing.T) {
	for _, name := range []string{
		"status 000", "status 600", "HTTP/0.9", "blank in a name", "blank after the length", "blank after the encoding", "switching protocols",
	} {
		_, err := get(t, malformedHeads[name], len(malformedHeads[name]), plain)
		qt.Assert(t, err, qt.ErrorIs, ErrMalformed, qt.Commentf(name))
	}
}

// Guards against the loss of responses that are allowed.
func TestAllowedResponsesAreRead(t *testing.T) {
	for name, text := range allowed {
		for _, size := range []int{1, 7, len(text)} {
			t.Run(fmt.Sprintf("%s, parts of %d", name, size), func(t *testing.T) {
				body, err := get(t, text, size, Dial)
				qt.Assert(t, err, qt.IsNil)
				if want := "body"; body != want && !strings.HasPrefix(text, "HTTP/1.1 204") && !strings.HasPrefix(text, "HTTP/1.1 304") {
					t.Fatalf("read %q", body)
				}
			})
		}
	}
}

// FuzzHeadChecker checks that parts do not matter, and that whatever the checker allows net/http reads the same.
func FuzzHeadChecker(f *testing.F) {
	for _, texts := range []map[string]string{malformedHeads, malformedTrailers, allowed} {
		for _, text := range texts {
			f.Add([]byte(text), 3)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		whole, parts := headChecker{}, headChecker{}
		whole.expect()
		parts.expect()
		want := whole.check(text)
		var got error
		for rest := text; len(rest) > 0 && got == nil; {
			part := rest[:min(max(1, size), len(rest))]
			got, rest = parts.check(part), rest[len(part):]
		}
		if fmt.Sprint(got) != fmt.Sprint(want) {
			t.Fatalf("in parts %v, whole %v", got, want)
		}
	})
}
