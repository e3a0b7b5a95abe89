// Package wellformed rejects HTTP responses that RFC 9110 and RFC 9112 don't allow and that net/http accepts: the recipient of such a
// response may read another body than its sender meant, or pass on what no other recipient understands.
//
// A Transport checks what net/http has parsed: heads and trailers. Connections of Dial check the bytes of heads as they arrive, which
// shows in addition what net/http drops: interim responses, and fields that contradict each other on where the body ends.
package wellformed
