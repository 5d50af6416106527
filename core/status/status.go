// Package status defines the report of an instance's state for operators.
package status

import "chervilpath/core/stage"

type (
	// Instance is the state of one instance.
	Instance struct {
		Name            string         `json:"name"`
		Incarnation     string         `json:"incarnation"`
		FailureDomain   string         `json:"failureDomain"`
		Ready           bool           `json:"ready"`
		Draining        bool           `json:"draining"`
		Revision        int64          `json:"revision"`
		RefusedRevision int64          `json:"refusedRevision"`
		RefusedReason   string         `json:"refusedReason,omitempty"`
		InFlight        int            `json:"inFlight"`
		Attainment      []Attainment   `json:"attainment"`
		Members         []Member       `json:"members"`
		Stages          []stage.Status `json:"stages"`
		Platform        PlatformCalls  `json:"platform"`
		// PeerBytes is the number of bytes that this instance's calls to its
		// peers have sent and received.
		PeerBytes int64 `json:"peerBytes"`
		// KeysHeld is the number of idempotency keys in memory, and KeysRunning
		// the number of those whose request is running.
		KeysHeld    int `json:"keysHeld"`
		KeysRunning int `json:"keysRunning"`
		// Unwilling are the servers of the platform that told the instance that they
		// are leaving or want no requests for a while.
		Unwilling []Server `json:"unwilling,omitempty"`
		// QuarantinedParts are the parts of prompts that are held back since engines have
		// crashed on them.
		QuarantinedParts []QuarantinedPart `json:"quarantinedParts,omitempty"`
		// EvacuatedZones are the failure domains whose servers get nothing because the
		// operator evacuates them.
		EvacuatedZones []string `json:"evacuatedZones,omitempty"`
		// Queues are the queues for slots that this instance keeps as the owner of a service,
		// and DelayedOrganisations those with the most requests that had to wait there.
		Queues               []Queue               `json:"queues,omitempty"`
		DelayedOrganisations []DelayedOrganisation `json:"delayedOrganisations,omitempty"`
		// CostsWaiting is the number of cost objects that are not yet stored.
		CostsWaiting int `json:"costsWaiting"`
	}

	// Member is an instance as the reporting one sees it.
	Member struct {
		Name          string `json:"name"`
		Incarnation   string `json:"incarnation"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
		Revision      int64  `json:"revision"`
	}

	// Queue is the queue for the slots of a service.
	Queue struct {
		Service string `json:"service"`
		Waiting int    `json:"waiting"`
		InUse   int    `json:"inUse"`
	}

	// DelayedOrganisation counts the requests of an organisation that were delayed, refused
	// immediately, refused after they had waited, and given up by their callers. Up to
	// Uncounted further ones are missing.
	DelayedOrganisation struct {
		Name      string `json:"name"`
		Delayed   int64  `json:"delayed"`
		Refused   int64  `json:"refused"`
		Dropped   int64  `json:"dropped"`
		GaveUp    int64  `json:"gaveUp"`
		Uncounted int64  `json:"uncounted,omitempty"`
	}

	// Server is a server that told an instance that it gets no requests.
	Server struct {
		ID      string `json:"id"`
		Service string `json:"service"`
		// Born is the server's start time in Unix milliseconds, or 0 if it is not
		// known.
		Born int64 `json:"born"`
		// Leaving is set if the server is leaving. Otherwise it wants no requests for
		// ReturnsInMs milliseconds.
		Leaving     bool  `json:"leaving"`
		ReturnsInMs int64 `json:"returnsInMs,omitempty"`
	}

	// QuarantinedPart is a part of prompts for a service that is held back.
	QuarantinedPart struct {
		Service string `json:"service"`
		Part    string `json:"part"`
		// Crashes is the number of engines that ended on it, Servers are their IDs as far
		// as they are known, and Instances is the number of instances that saw it.
		Crashes   int      `json:"crashes"`
		Servers   []string `json:"servers"`
		Instances int      `json:"instances"`
		// HeldMs is the time since it is held back, and TrialInMs the time until one
		// request may try it.
		HeldMs    int64 `json:"heldMs"`
		TrialInMs int64 `json:"trialInMs"`
		Trials    int   `json:"trials"`
	}

	// Attainment is the number of a kind's requests in the last minute and the
	// fraction of them that was answered within the deadline. Requests that
	// failed through the caller's own fault are left out.
	Attainment struct {
		Kind     string  `json:"kind"`
		Requests int     `json:"requests"`
		Fraction float64 `json:"attained"`
	}

	// PlatformCalls counts the calls that an instance has made to the platform's
	// object API.
	PlatformCalls struct {
		Reads   int64 `json:"reads"`
		Writes  int64 `json:"writes"`
		Watches int64 `json:"watches"`
		Failed  int64 `json:"failed"`
	}
)
