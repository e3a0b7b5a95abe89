package structs

// ZoneID is the name of a zone in the settings file ("sala-a").
type ZoneID string

// RowName is the name of a row of the table, which callers send as "model".
type RowName string

// RunnerID identifies a runner (a back end with accelerators) within the site.
type RunnerID string

// DaemonID identifies a lotusferry daemon within the site.
type DaemonID string

// RequestID identifies one attempt of a caller to get an answer. The router generates
// it, and the engine repeats it in every token.
type RequestID string

// Incarnation numbers the processes of a runner: after a restart, a runner has no
// replicas and a higher incarnation.
type Incarnation uint64
