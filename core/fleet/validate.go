package fleet

import (
	"fmt"
	"net/netip"
	"time"
)

// Bounds of what an entry may say. No server can need more.
const (
	// maxSlots is the largest number of requests that a server processes at a time. It
	// is the number of ports of an address.
	maxSlots = 1 << 16

	// maxCold is the longest time for which a server is slow after its start. A server
	// whose time is over may say so with a negative one.
	maxCold = 24 * time.Hour

	// maxBorn is the latest start time, in Unix milliseconds: the end of the year 9999.
	maxBorn = 253_402_300_799_999

	// maxSequence is the largest sequence number, up to which any reader of JSON has
	// exact integers.
	maxSequence = 1 << 53

	// maxNameBytes is the size of the longest ID, service, zone and build.
	maxNameBytes = 256

	// maxShownBytes is how much of a refused text an error shows.
	maxShownBytes = 64
)

// Validate returns an error if the entry names no server that can be called, or has a
// value that no server can need.
func (s Server) Validate() error {
	if err := validateID(s.ID); err != nil {
		return err
	}
	for _, t := range []struct{ field, value string }{{"service", s.Service}, {"zone", s.Zone}, {"build", s.Build}} {
		if len(t.value) > maxNameBytes {
			return fmt.Errorf("the %s %.*q has %d bytes, more than %d", t.field, maxShownBytes, t.value, len(t.value), maxNameBytes)
		}
	}
	switch {
	case s.Service == "":
		return fmt.Errorf("the service is missing")
	case s.Slots < 1 || s.Slots > maxSlots:
		return fmt.Errorf("%d slots are not from 1 to %d", s.Slots, maxSlots)
	case s.Cold < -maxCold || s.Cold > maxCold:
		return fmt.Errorf("it is slow for %v after its start, more than %v", s.Cold, maxCold)
	case s.Born < 0 || s.Born > maxBorn:
		return fmt.Errorf("the start time %d is not from 0 to %d", s.Born, int64(maxBorn))
	case s.Sequence < 0 || s.Sequence > maxSequence:
		return fmt.Errorf("the sequence number %d is not from 0 to %d", s.Sequence, int64(maxSequence))
	}
	return validateAddress(s.Address)
}

// validateID returns an error if an ID cannot be sent in the head of a request.
func validateID(id string) error {
	if id == "" || len(id) > maxNameBytes {
		return fmt.Errorf("the ID has %d bytes, not from 1 to %d", len(id), maxNameBytes)
	}
	for _, b := range []byte(id) {
		if b <= ' ' || b > '~' {
			return fmt.Errorf("the ID %.*q has other bytes than printable ASCII", maxShownBytes, id)
		}
	}
	return nil
}

// validateAddress returns an error if an address is not the IP address and port of one
// machine in their usual form. Another form of an address would hide that two entries
// have the same one.
func validateAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil || a.String() != address || a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() {
		return fmt.Errorf("the address %.*q is not an IP address with a port from 1 to 65535", maxShownBytes, address)
	}
	return nil
}
