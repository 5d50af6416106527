package boottime_test

import (
	"testing"
	"time"

	"chervilpath/io/boottime"
)

// Guards against another clock or unit than that of package time, in which ages are compared.
func TestClockRunsAsFastAsThatOfPackageTime(t *testing.T) {
	start, bootStart := time.Now(), boottime.Now()
	time.Sleep(20 * time.Millisecond)
	got, atMost := boottime.Now().Sub(bootStart), time.Since(start)+10*time.Millisecond
	if got < 20*time.Millisecond || got > atMost {
		t.Errorf("%v have passed, want from 20ms to %v", got, atMost)
	}
}
