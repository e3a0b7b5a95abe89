package zone

import (
	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
)

// CheckInvariants returns an error that names the first thing found that must
// never be, or nil.
func (s *State) CheckInvariants() error {
	for _, check := range []func() error{
		s.checkGrantHeld, s.checkMemory, s.checkRecords, s.checkIndexes, s.checkClaims,
	} {
		if err := check(); err != nil {
			return err
		}
	}
	return nil
}

// checkGrantHeld: never more replicas than the global group counts for the zone.
func (s *State) checkGrantHeld() error {
	for row, records := range s.byRow {
		if held := s.Grant(row).Held; len(records) > held {
			return errors.Errorf("row %q has %d replicas and %d are held", row, len(records), held)
		}
	}
	return nil
}

func (s *State) checkMemory() error {
	for id, records := range s.byRunner {
		var sum int64
		for _, replica := range records {
			if replica.MemoryBytes < 0 {
				return errors.Errorf("replica of %q on %q has negative memory", replica.Row, id)
			}
			sum += replica.MemoryBytes
		}
		if sum != s.reserved[id] {
			return errors.Errorf("runner %q has %d bytes reserved and %d in records", id, s.reserved[id], sum)
		}
		runner, ok := s.runners[id]
		if !ok {
			return errors.Errorf("replicas are on the unknown runner %q", id)
		}
		if sum < 0 || sum > runner.MemoryBytes {
			return errors.Errorf("runner %q has %d bytes and %d reserved", id, runner.MemoryBytes, sum)
		}
	}
	return nil
}

func (s *State) checkRecords() error {
	orders := map[structs.OrderNumber]bool{}
	for key, replica := range s.replicas {
		if orders[replica.Order] || uint64(replica.Order) > s.index || replica.Reserved > replica.Order {
			return errors.Errorf("replica of %q on %q has the wrong order %d", key.row, key.runner, replica.Order)
		}
		orders[replica.Order] = true
		runner, ok := s.runners[key.runner]
		if !ok || runner.Gone || runner.Incarnation != replica.Incarnation {
			return errors.Errorf("replica of %q on %q is of an incarnation that is gone", key.row, key.runner)
		}
		if err := s.checkAdapter(replica); err != nil {
			return err
		}
	}
	return nil
}

func (s *State) checkAdapter(replica *Replica) error {
	switch replica.State {
	case structs.ReplicaLoading, structs.ReplicaReady, structs.ReplicaUnloading:
	default:
		return errors.Errorf("replica of %q on %q is in state %q", replica.Row, replica.Runner, replica.State)
	}
	if replica.Base == "" {
		return nil
	}
	base, ok := s.replicas[placementKey{replica.Runner, replica.Base}]
	if !ok || base.State == structs.ReplicaUnloading {
		return errors.Errorf("adapter %q on %q has no base", replica.Row, replica.Runner)
	}
	return nil
}

func (s *State) checkIndexes() error {
	byRow, byRunner := 0, 0
	for _, records := range s.byRow {
		byRow += len(records)
	}
	for _, records := range s.byRunner {
		byRunner += len(records)
	}
	if byRow != len(s.replicas) || byRunner != len(s.replicas) {
		return errors.Errorf("%d replicas are indexed as %d by row and %d by runner", len(s.replicas), byRow, byRunner)
	}
	return nil
}

func (s *State) checkClaims() error {
	var sum int64
	finished, held, answers := 0, 0, 0
	for key, record := range s.claims.records {
		if record.bytes < 0 || (record.claim.State != structs.ClaimHeld && record.bytes != int64(len(record.claim.Answer))) {
			return errors.Errorf("claim %q counts %d bytes", key, record.bytes)
		}
		if record.claim.State == structs.ClaimHeld {
			held++
		}
		switch record.claim.State {
		case structs.ClaimHeld, structs.ClaimUnknown:
			if len(record.claim.Answer) > 0 {
				return errors.Errorf("claim %q is %s and has an answer", key, record.claim.State)
			}
		case structs.ClaimFinished:
			finished++
			if record.bytes > 0 {
				answers++
			}
		default:
			return errors.Errorf("claim %q is in state %q", key, record.claim.State)
		}
		sum += record.bytes
	}
	if sum != s.claims.bytes || sum > MaxClaimBytes || len(s.claims.records) > MaxClaims {
		return errors.Errorf("%d claims count %d bytes and use %d", len(s.claims.records), s.claims.bytes, sum)
	}
	if held != len(s.claims.held) {
		return errors.Errorf("%d held claims and %d in their index", held, len(s.claims.held))
	}
	if finished != len(s.claims.expiry) || answers != len(s.claims.answers) {
		return errors.Errorf("%d finished claims, %d with an answer, and %d and %d expiries",
			finished, answers, len(s.claims.expiry), len(s.claims.answers))
	}
	return nil
}
