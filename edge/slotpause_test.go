package edge

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"
)

// TestSlotPause guards against each request waiting for an owner that is silent, and against an
// owner that is never asked again.
func TestSlotPause(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := &delegator{instance: &Instance{log: zap.NewNop()}, slotPauses: make(map[string]*slotPause)}
		silent := errors.New("no answer")
		if !d.mayAskForSlot("o") {
			t.Error("an owner that was never asked must not be asked")
		}
		d.pauseSlots("o", silent)
		d.pauseSlots("o", silent) // A second call that began before the pause.
		if d.mayAskForSlot("o") {
			t.Error("a silent owner is asked at once")
		}
		time.Sleep(minSlotPause)
		for i := range 2 {
			if d.mayAskForSlot("o") != (i == 0) {
				t.Error("not exactly one request asks again after the pause")
			}
		}
		d.slotNotDecided("o")
		if !d.mayAskForSlot("o") {
			t.Error("no request asks again after one was given up by its caller")
		}
		d.pauseSlots("o", silent)
		time.Sleep(minSlotPause)
		if d.mayAskForSlot("o") {
			t.Error("the second pause is no longer than the first")
		}
		time.Sleep(minSlotPause)
		if !d.mayAskForSlot("o") {
			t.Error("the owner is not asked after the second pause")
		}
		d.slotAnswered("o")
		for range 2 {
			if !d.mayAskForSlot("o") {
				t.Error("an owner that answered is asked by one request at a time")
			}
		}
	})
}
