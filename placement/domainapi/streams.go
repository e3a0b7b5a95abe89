package domainapi

import "github.com/lotusferry/lotusferry/placement/versions"

// Methods for the versions of streams. Any controller serves them, whether it leads or not.
const (
	MethodNoteStreams = ServiceName + ".NoteStreams"
	MethodFindStream  = ServiceName + ".FindStream"
)

// NoteStreamsArguments carry records of streams that a router began while runners of several software versions were there.
type NoteStreamsArguments struct {
	Router  string
	Records []versions.Record
}

// NoteStreamsReply acknowledges the records.
type NoteStreamsReply struct {
	Reply
	// Epoch identifies the incarnation of the register, which is in the memory of the process.
	Epoch uint64
}

// FindStreamArguments ask which software version began a stream.
type FindStreamArguments struct {
	// ID is that of the client's attempt that brought the first event.
	ID string
	// Service is the one at which the stream may have begun; empty from the previous version.
	Service string
}

// FindStreamReply holds the record, if it is known.
type FindStreamReply struct {
	Reply
	IsFound bool
	Record  versions.Record
	// Only is the software version at which all streams of the service have begun that are in progress, as the leader knows; empty if it
	// does not, and from others.
	Only string
}
