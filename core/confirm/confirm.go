// Package confirm owns what an instance knows of when the platform's store last
// confirmed what the instance has of it, through whichever instance.
//
// A Confirmation passes from instance to instance in Reports. However often and in
// whatever circles it is passed on, and however long messages take, no instance
// believes that it is younger than it is: see AsOf. The package sends nothing and
// reads no clock.
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

// Received returns the confirmation of a report that was not made before asOf, see AsOf.
func (r Report) Received(asOf time.Time) Confirmation {
	return Confirmation{At: asOf.Add(-max(0, r.Age)), Origin: r.Origin, Hops: r.Hops + 1}
}

// AsOf returns a time that is not later than the making of a reply, by the clock of the instance
// that sent the request at sentAt and got the reply at arrivedAt. held is the time for which the
// other instance says that it held the request. Ages in a reply have to count from this time:
// counted from the arrival they would be too low by the time for which the reply was on its way.
func AsOf(sentAt time.Time, held time.Duration, arrivedAt time.Time) time.Time {
	at := sentAt.Add(max(0, held))
	if at.After(arrivedAt) {
		return arrivedAt
	}
	return at
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
