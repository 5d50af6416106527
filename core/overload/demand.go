// Package overload decides which requests are delayed and which are refused when a
// service has too little room.
//
// It must not call servers or read a clock.
package overload

import "time"

// Demand is what a request asks of a service, and what its answer is worth to its caller.
type Demand struct {
	// Class is the route of the request, and Organisation the name of the caller's.
	Class, Organisation string
	// Priority ranks classes; 0 is the most urgent.
	Priority int
	// Worth is that of an answer by Due, and LateWorth that of a later one, relative to
	// other requests.
	Worth, LateWorth float64
	// Due is when the answer is due by the target latency.
	Due time.Time
	// RelativeSize is the size of the request as a ratio to the mean of its class.
	RelativeSize float64
	// Returned is set if the caller came back after a refusal.
	Returned bool
	// Wait is how long the request may wait for room before it is refused.
	Wait time.Duration
}
