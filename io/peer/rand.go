package peer

import (
	"crypto/rand"
	mathrand "math/rand/v2"
)

// NewRand returns a generator with a seed from the system, so that instances
// that start together draw differently.
func NewRand() *mathrand.Rand {
	var seed [32]byte
	// It never fails: crypto/rand ends the process instead.
	_, _ = rand.Read(seed[:])
	return mathrand.New(mathrand.NewChaCha8(seed))
}
