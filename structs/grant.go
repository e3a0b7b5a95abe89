package structs

// Grant is one zone's share of a row's MaxReplicas.
//
// For each row, the global group raises Held only if the sum over all zones stays
// within MaxReplicas. Limit may fall below Held at any time: the zone then unloads
// replicas down to Limit and sends a GrantRelease, which lowers Held. Except for
// replicas that are being unloaded, a zone never has more than the Limit it last adopted.
//
// If MaxReplicas is lowered below the sum of Held, the row's grants are Frozen until
// releases have reduced the sum to MaxReplicas.
type Grant struct {
	Row  RowName `json:"row"`
	Zone ZoneID  `json:"zone"`
	// Limit is the maximum number of replicas of the zone from now on.
	Limit int `json:"limit"`
	// Held is the number of replicas that the zone may still have, as far as the
	// global group knows. Limit <= Held.
	Held int `json:"held"`
	// Minimum is the zone's share of the row's MinReplicas, which the zone keeps
	// loaded without demand. Minimum <= Limit.
	Minimum int `json:"minimum,omitempty"`
	// Frozen is set while the zones may have more replicas than MaxReplicas in total.
	// The zone keeps its loaded replicas, up to Limit, and starts no load. It releases
	// what it does not use, even below Limit, and is granted that again later.
	Frozen bool `json:"frozen,omitempty"`
	// Sequence increases with every change of this grant; releases with an older one
	// are ignored.
	Sequence uint64 `json:"sequence"`
}

// GrantRelease reports that the zone has adopted the grant with Sequence and has at
// most Limit replicas. It lowers Held to Limit; below the grant's own Limit only if the
// grant is Frozen.
type GrantRelease struct {
	Row      RowName
	Zone     ZoneID
	Sequence uint64
	Limit    int
}

// GrantWish reports how many replicas of a row a zone could use. The global group
// divides MaxReplicas accordingly.
type GrantWish struct {
	Row    RowName
	Zone   ZoneID
	Wanted int
}

// TableDelta contains the changes of the table and of one zone's grants after
// SinceRevision up to Revision. If Full is set, it contains the full table and replaces
// that of the receiver, unless the receiver has a later revision.
type TableDelta struct {
	SinceRevision uint64
	Revision      uint64
	Full          bool
	Rows          []Row
	Deleted       []RowName
	// Grants are those of the receiving zone.
	Grants []Grant
	// Elsewhere lists, for each changed row, the zones with a positive Limit, to which
	// a router can forward requests that its own zone may not serve.
	Elsewhere []RowZones
}

// RowZones lists the zones with a positive grant limit for a row.
type RowZones struct {
	Row   RowName
	Zones []ZoneID
}
