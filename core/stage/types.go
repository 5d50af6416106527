package stage

import (
	"time"

	"chervilpath/core/balance"
	"chervilpath/core/declare"
)

type (
	// Clock is the source of time.
	Clock struct {
		Now func() time.Time
		// AfterFunc calls f in its own goroutine after d, unless stop is called
		// before.
		AfterFunc func(d time.Duration, f func()) (stop func() bool)
	}

	// Policy disables individual mechanisms, to measure the effect of each. The
	// zero Policy, with all of them enabled, is the one for production.
	Policy struct {
		Balance balance.Policy
		// NoAdmission queues every request, whatever its deadline.
		NoAdmission bool
		// NoForecast skips the admission check for the whole pipeline on arrival,
		// but keeps the one at each stage.
		NoForecast bool
		// FIFO serves waiting requests in order of arrival.
		FIFO bool
		// UnlimitedRetries retries failed calls without a budget or a delay.
		UnlimitedRetries bool
		// NoHedges sends no hedges.
		NoHedges bool
	}

	// CallRequest describes the call for which a grant is requested.
	CallRequest struct {
		Organisation *declare.Organisation
		Priority     declare.Priority
		// Cost is the expected cost in the stage's unit.
		Cost float64
		// Deadline is the deadline of the whole request, and Need the expected
		// time for this stage and all later ones.
		Deadline time.Time
		Need     time.Duration
		Query    balance.Query
		// Unreachable names the endpoints that could not be reached for the request. It
		// waits for another one as long as one may serve it before the deadline.
		Unreachable []string
		// Arrived is when the request arrived at the stage.
		Arrived time.Time
	}

	// Grant is the right to make one call to an endpoint. It has to be given back
	// by Release or Finish.
	Grant struct {
		Endpoint *declare.Endpoint
		// Index is the endpoint's index for balance.Query.Exclude.
		Index  int
		Reason balance.Reason
		// Waited is the time that the request spent in the queue.
		Waited  time.Duration
		Started time.Time
		// Slowness is how long the call is expected to take as a multiple of the usual time,
		// and Pace what the endpoint reported of that lately, or 0.
		Slowness, Pace float64

		call balance.Call
	}

	// Status is a copy of a stage's state for operators.
	Status struct {
		Name          string                   `json:"name"`
		Waiting       int                      `json:"waiting"`
		Organisations int                      `json:"organisations"`
		MedianMs      float64                  `json:"medianMs"`
		P95Ms         float64                  `json:"highMs"`
		Calls         int64                    `json:"calls"`
		Retries       int64                    `json:"repeats"`
		RetriesDenied int64                    `json:"repeatsRefused"`
		Endpoints     []balance.EndpointStatus `json:"endpoints"`
	}
)
