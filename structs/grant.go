package structs

// Grant is one zone's share of a row's MaxReplicas.
//
// The global group keeps, for each row, the sum of Held over all zones at or
// below MaxReplicas whenever Held grows. Limit may fall below Held at any time:
// the zone then unloads down to Limit and sends a GrantRelease, and only that
// lowers Held. A zone never has more replicas than the Limit it last adopted,
// but for those it is still unloading.
//
// A lowered MaxReplicas can leave the sum of Held above it. The row's grants are
// Frozen then, until releases have brought the sum down to MaxReplicas.
type Grant struct {
	Row  RowName `json:"row"`
	Zone ZoneID  `json:"zone"`
	// Limit is how many replicas the zone should have at most from now on.
	Limit int `json:"limit"`
	// Held is how many replicas the zone may still have, as far as the global
	// group knows. Limit <= Held.
	Held int `json:"held"`
	// Minimum is the zone's part of the row's MinReplicas: how many replicas the
	// zone keeps loaded without demand. Minimum <= Limit.
	Minimum int `json:"minimum,omitempty"`
	// Frozen is true while other zones may still have more replicas than
	// MaxReplicas leaves them: the zone keeps what it has loaded, up to Limit, and
	// begins no load. It releases down to what it has, also below Limit, and gets
	// the rest back when there is room.
	Frozen bool `json:"frozen,omitempty"`
	// Sequence rises with every change of this grant; a release that names an
	// older one is ignored.
	Sequence uint64 `json:"sequence"`
}

// GrantRelease tells the global group that the zone adopted the grant with
// Sequence and is down to Limit replicas. It lowers Held to Limit, but only that
// of a Frozen grant below the grant's own Limit.
type GrantRelease struct {
	Row      RowName
	Zone     ZoneID
	Sequence uint64
	Limit    int
}

// GrantWish is a zone's statement of how many replicas it could use of a row;
// the global group splits MaxReplicas by it.
type GrantWish struct {
	Row    RowName
	Zone   ZoneID
	Wanted int
}

// TableDelta carries all changes of the table and of one zone's grants after
// SinceRevision up to Revision. When Full is set it carries everything and
// replaces what the receiver had, but never lowers the receiver's revision.
type TableDelta struct {
	SinceRevision uint64
	Revision      uint64
	Full          bool
	Rows          []Row
	Deleted       []RowName
	// Grants are those of the receiving zone.
	Grants []Grant
	// Elsewhere names, for each changed row, the zones with a positive Limit, so
	// that a router can forward a request that its own zone may not serve.
	Elsewhere []RowZones
}

// RowZones lists the zones that hold a positive grant limit for a row.
type RowZones struct {
	Row   RowName
	Zones []ZoneID
}
