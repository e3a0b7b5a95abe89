package poison

import (
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
)

func TestDigestDistinguishesRequests(t *testing.T) {
	content := Content{Caller: "c", Method: "POST", Host: "h", URI: "/a/b?q=1", Body: []byte("body")}
	for name, change := range map[string]func(*Content){
		"caller":          func(c *Content) { c.Caller = "d" },
		"method":          func(c *Content) { c.Method = "PUT" },
		"host":            func(c *Content) { c.Host = "i" },
		"query":           func(c *Content) { c.URI = "/a/b?q=2" },
		"body":            func(c *Content) { c.Body = []byte("bodz") },
		"part boundaries": func(c *Content) { c.Host, c.URI = "h/", "a/b?q=1" },
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			changed := content
			change(&changed)
			c.Assert(changed.Digest() == content.Digest(), qt.IsFalse)
		})
	}
	qt.Assert(t, content.Digest(), qt.Equals, content.Digest())
}

// BenchmarkDigest measures the digest of a request with a 4 KiB body. It is computed for each
// forwarded request.
func BenchmarkDigest(b *testing.B) {
	content := Content{Method: "POST", Host: "h", URI: "/a/b", Body: bytes.Repeat([]byte("x"), 4<<10)}
	b.ReportAllocs()
	for b.Loop() {
		_ = content.Digest()
	}
}
