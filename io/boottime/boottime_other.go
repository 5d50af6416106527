//go:build !linux

package boottime

import "time"

// Now returns the time of package time: it is not known for how long the machine was
// suspended.
func Now() time.Time { return time.Now() }
