// Package boottime reads a clock that also runs while the machine is suspended.
//
// The monotonic clock of package time stands still then, so that what an instance knew
// before looks recent. The package must not be used for the time of day, nor to compare
// times of two machines.
package boottime
