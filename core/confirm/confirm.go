// Package confirm owns what an instance knows of when the platform's store last
// confirmed what the instance has of it, through whichever instance.
//
// A Confirmation passes from instance to instance in Reports. The package sends
// nothing and reads no clock.
package confirm

import "time"

type (
	// Confirmation says that what an instance has was what the store held at a time. The
	// zero value stands for none.
	Confirmation struct {
		At time.Time
		// Origin is the name of the instance that the store answered, and Hops the number
		// of instances that have passed the confirmation on since.
		Origin string
		Hops   int
	}

	// Report is a confirmation as one instance sends it to another. Clocks differ, so it
	// holds an age in place of a time.
	Report struct {
		// Age is the time since the confirmation, as of the making of the report.
		Age    time.Duration
		Origin string
		Hops   int
	}
)

// IsZero reports whether there is no confirmation.
func (c Confirmation) IsZero() bool { return c.At.IsZero() }

// Report returns the confirmation for another instance.
func (c Confirmation) Report(now time.Time) Report {
	return Report{Age: now.Sub(c.At), Origin: c.Origin, Hops: c.Hops}
}

// Received returns the confirmation of a report that has arrived now.
func (r Report) Received(now time.Time) Confirmation {
	return Confirmation{At: now.Add(-r.Age), Origin: r.Origin, Hops: r.Hops + 1}
}

// Oldest returns the oldest one of confirmations of what is needed together.
func Oldest(confirmations ...Confirmation) Confirmation {
	oldest := confirmations[0]
	for _, c := range confirmations[1:] {
		if c.At.Before(oldest.At) {
			oldest = c
		}
	}
	return oldest
}
