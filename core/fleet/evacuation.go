package fleet

import (
	"fmt"
	"slices"
)

// maxEvacuatedZones is the largest number of evacuated zones that is kept. A deployment has
// a few zones; other writers may create objects without end.
const maxEvacuatedZones = 256

// Evacuations is the set of evacuated zones, whose servers must get nothing, as the store held
// it at a revision.
type Evacuations struct {
	// Zones are the names of the zones in order.
	Zones []string `json:"zones"`
	// Revision is the store's revision at which the set was last seen to hold, or 0 if it
	// is not known.
	Revision int64 `json:"revision"`
	// ChangedAt is a revision from which on, up to Revision, the set was the same.
	ChangedAt int64 `json:"changedAt"`
}

// NewEvacuations returns a set that was read at a revision. Zones beyond maxEvacuatedZones
// are left out, the same ones at all instances.
func NewEvacuations(zones []string, revision int64) Evacuations {
	zones = slices.Compact(slices.Sorted(slices.Values(zones)))
	return Evacuations{Zones: zones[:min(len(zones), maxEvacuatedZones)], Revision: revision, ChangedAt: revision}
}

// After returns the set after changes that the store made until a revision, of which added
// and removed are all those since e.
func (e Evacuations) After(added, removed []string, revision int64) Evacuations {
	revision = max(revision, e.Revision)
	if len(added) == 0 && len(removed) == 0 {
		e.Revision = revision
		return e
	}
	zones := slices.DeleteFunc(slices.Clone(e.Zones), func(zone string) bool { return slices.Contains(removed, zone) })
	return NewEvacuations(append(zones, added...), revision)
}

// Contains reports whether a zone is evacuated.
func (e Evacuations) Contains(zone string) bool {
	_, ok := slices.BinarySearch(e.Zones, zone)
	return ok
}

// Validate returns an error if the set cannot have come from an instance.
func (e Evacuations) Validate() error {
	if e.Revision <= 0 || e.ChangedAt <= 0 || e.ChangedAt > e.Revision {
		return fmt.Errorf("revision %d with changes at %d", e.Revision, e.ChangedAt)
	}
	if len(e.Zones) > maxEvacuatedZones || !slices.IsSorted(e.Zones) {
		return fmt.Errorf("%d zones, more than %d or not in order", len(e.Zones), maxEvacuatedZones)
	}
	for _, zone := range e.Zones {
		if err := ValidateZone(zone); err != nil {
			return err
		}
	}
	return nil
}

// ValidateZone returns an error if no zone can have the name.
func ValidateZone(name string) error {
	if name == "" || len(name) > maxNameBytes {
		return fmt.Errorf("the zone %.*q has %d bytes, not from 1 to %d", maxShownBytes, name, len(name), maxNameBytes)
	}
	return nil
}

// Evacuations returns the evacuated zones. Its Revision is 0 if they are not known yet.
func (v *View) Evacuations() Evacuations { return v.evacuations }

// SetEvacuations replaces the evacuated zones by a set that was seen at a later revision, and
// ignores any other one: an older view must not come back, whomever it is from. It returns
// the zones whose evacuation has begun and ended by it.
func (v *View) SetEvacuations(e Evacuations) (begun, ended []string) {
	if e.Revision <= v.evacuations.Revision {
		return nil, nil
	}
	old := v.evacuations
	v.evacuations = e
	for _, zone := range e.Zones {
		if !old.Contains(zone) {
			begun = append(begun, zone)
		}
	}
	for _, zone := range old.Zones {
		if !e.Contains(zone) {
			ended = append(ended, zone)
		}
	}
	if old.Revision == 0 || len(begun)+len(ended) > 0 {
		v.generation++
	}
	return begun, ended
}

// Evacuated reports whether the server at an address is in an evacuated zone. The results
// that it holds may be read.
func (s *Snapshot) Evacuated(address string) bool {
	return s.evacuations.Contains(s.byAddress[address].Zone)
}

// Evacuations returns the evacuated zones.
func (s *Snapshot) Evacuations() Evacuations { return s.evacuations }

// NumEvacuated returns the number of servers in a zone that is evacuated.
func (s *Snapshot) NumEvacuated(zone string) int { return s.numEvacuated[zone] }
