package structs

// ZoneID names a zone, as written in the settings file ("sala-a").
type ZoneID string

// RowName names a row of the table; it is what callers write as "model".
type RowName string

// RunnerID names a runner (a back end with accelerators) within the site.
type RunnerID string

// DaemonID names a lotusferry daemon within the site.
type DaemonID string

// RequestID names one attempt of a caller to get an answer. The router makes it;
// the engine echoes it on every token.
type RequestID string

// Incarnation numbers the lives of a runner process: a runner that restarts
// comes back empty with a higher incarnation.
type Incarnation uint64
