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
		// first.
		AfterFunc func(d time.Duration, f func()) (stop func() bool)
	}

	// Policy switches mechanisms off, to measure what each is worth. The zero
	// Policy is the product's.
	Policy struct {
		Balance balance.Policy
		// NoAdmission lets every request wait, whatever its deadline.
		NoAdmission bool
		// NoForecast leaves out the look at the whole pipeline on arrival, but
		// keeps the one at each stage.
		NoForecast bool
		// FIFO serves waiting requests in the order of arrival.
		FIFO bool
		// UnlimitedRetries repeats failed calls without a budget or a delay.
		UnlimitedRetries bool
		// NoHedges sends no hedges.
		NoHedges bool
	}

	// CallRequest describes the stage call for which a grant is sought.
	CallRequest struct {
		Organisation *declare.Organisation
		Priority     declare.Priority
		// Cost is the expected cost in the stage's unit.
		Cost float64
		// Deadline is the end of the whole request, and Need the time that this
		// stage and all later ones take.
		Deadline time.Time
		Need     time.Duration
		Query    balance.Query
		Arrived  time.Time
	}

	// Grant is the right to make one call at an endpoint.
	Grant struct {
		Endpoint *declare.Endpoint
		// Index is the endpoint's place for Query.Exclude.
		Index   int
		Reason  balance.Reason
		Waited  time.Duration
		Started time.Time

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
