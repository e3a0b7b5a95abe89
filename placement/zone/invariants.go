package zone

import (
	"slices"

	"github.com/lotusferry/lotusferry/structs"
	"github.com/pkg/errors"
)

// CheckInvariants returns an error describing the first violated invariant, or nil.
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

// checkGrantHeld checks that no row has more replicas than are held under its grant.
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
			return errors.Errorf("replica of %q on %q has an incarnation that has ended", key.row, key.runner)
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
	held := 0
	for key, record := range s.claims.open {
		switch record.claim.State {
		case structs.ClaimHeld:
			held++
		case structs.ClaimUnknown:
		default:
			return errors.Errorf("open claim %q is in state %q", key, record.claim.State)
		}
		hash := hashKey(key)
		if _, isFinished := s.claims.finished.get(hash); isFinished || s.claims.keyOnly.has(hash) {
			return errors.Errorf("claim %q is open and has finished", key)
		}
	}
	if held != len(s.claims.held) {
		return errors.Errorf("%d held claims and %d in their index", held, len(s.claims.held))
	}
	if whole := len(s.claims.open) + s.claims.finished.count(); whole > MaxClaims {
		return errors.Errorf("%d complete claims are stored", whole)
	}
	if err := s.claims.finished.check(); err != nil {
		return err
	}
	return s.claims.keyOnly.check()
}

// check returns an error describing the first violated invariant, or nil.
func (f *finishedClaims) check() error {
	claims := make([]int, len(f.holders))
	for hash, known := range f.byKey {
		if int(known.holder) >= len(f.holders) {
			return errors.Errorf("finished claim %x has no holder", uint64(hash))
		}
		claims[known.holder]++
	}
	if !slices.Equal(claims, f.claimsByHolder) {
		return errors.Errorf("holders have %v finished claims and count %v", claims, f.claimsByHolder)
	}
	for _, entry := range f.expiry {
		if known, isKept := f.byKey[entry.key]; !isKept || known.expiresAt != entry.at {
			return errors.Errorf("finished claim %x has a wrong expiry", uint64(entry.key))
		}
	}
	if len(f.expiry) != len(f.byKey) {
		return errors.Errorf("%d finished claims and %d expiries", len(f.byKey), len(f.expiry))
	}
	return nil
}

// check returns an error describing the first violated invariant, or nil.
func (f *keyOnlyClaims) check() error {
	count := 0
	for i, batch := range f.keyBatches {
		count += batch.size()
		if !slices.IsSorted(batch.sorted) || i > 0 && f.keyBatches[i-1].end >= batch.end {
			return errors.Errorf("the keys that expire by %d are out of order", batch.end)
		}
	}
	if count != f.count || count > MaxClaimKeys {
		return errors.Errorf("%d keys are kept and %d counted", count, f.count)
	}
	return nil
}
