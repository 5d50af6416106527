package peer

import (
	"crypto/rand"
	mathrand "math/rand/v2"
)

// NewRand returns a random number generator that is seeded by the operating
// system, so that instances that start together draw different numbers.
func NewRand() *mathrand.Rand {
	var seed [32]byte
	// Read never returns an error: crypto/rand ends the process instead.
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewChaCha8(seed))
}
