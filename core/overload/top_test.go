package overload

import (
	"fmt"
	"testing"
)

// TestTopIsBounded guards against a list that grows with the number of organisations, or
// that loses those with the most requests.
func TestTopIsBounded(t *testing.T) {
	var top Top
	for i := range 30000 {
		top.Add(fmt.Sprint("small-", i), Counts{Refused: 1})
		if i%10 == 0 {
			top.Add("large", Counts{Delayed: 1})
		}
	}
	list := top.List()
	if len(list) != maxTop || list[0].Name != "large" || list[0].Delayed+list[0].Uncounted < 3000 {
		t.Errorf("%d organisations are listed, the first of which is %+v", len(list), list[0])
	}
}
