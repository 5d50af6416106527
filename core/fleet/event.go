package fleet

import "time"

type (
	// Event is a change of what a View believes, for the log.
	Event struct {
		Kind EventKind
		// Server is the entry that changed, unless Kind is OutageEnded.
		Server Server
		// Until is the end of an exclusion, if Kind is Excluded.
		Until time.Time
		// Gap is the time without an answer of the store that is taken for an
		// outage, if Kind is OutageEnded.
		Gap time.Duration
	}

	// EventKind says what changed.
	EventKind uint8
)

const (
	// Leaving means that the server reported that it is draining.
	Leaving EventKind = iota
	// Gone means that the server's entry was removed.
	Gone
	// Missing means that the server's entry is missing after an outage of the store
	// and may still reappear.
	Missing
	// Excluded means that the server wants no requests from this instance for a while.
	Excluded
	// Returned means that a server may be used again that was excluded, or that has
	// started again after it was leaving.
	Returned
	// OutageEnded means that the store answered after an outage.
	OutageEnded
)

var eventNames = [...]string{Leaving: "leaving", Gone: "gone", Missing: "missing", Excluded: "excluded", Returned: "returned", OutageEnded: "outageEnded"}

// String returns the kind's name in logs and metrics.
func (k EventKind) String() string { return eventNames[k] }

// TakeEvents returns the events since its last call, in order.
func (v *View) TakeEvents() []Event {
	out := v.events
	v.events = nil
	return out
}
