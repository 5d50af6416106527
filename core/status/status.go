// Package status owns the form in which an instance tells operators its state.
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
		// PeerBytes is what this instance's calls to peers sent and received.
		PeerBytes    int64 `json:"peerBytes"`
		KeysHeld     int   `json:"keysHeld"`
		KeysRunning  int   `json:"keysRunning"`
		CostsWaiting int   `json:"costsWaiting"`
	}

	// Member is another instance as this one sees it.
	Member struct {
		Name          string `json:"name"`
		Incarnation   string `json:"incarnation"`
		FailureDomain string `json:"failureDomain"`
		State         string `json:"state"`
		Revision      int64  `json:"revision"`
	}

	// Attainment is the part of a kind's requests that were answered in time
	// during the last minute.
	Attainment struct {
		Kind     string  `json:"kind"`
		Requests int     `json:"requests"`
		Fraction float64 `json:"attained"`
	}

	// PlatformCalls are the calls of the platform that an instance has made.
	PlatformCalls struct {
		Reads   int64 `json:"reads"`
		Writes  int64 `json:"writes"`
		Watches int64 `json:"watches"`
		Failed  int64 `json:"failed"`
	}
)
