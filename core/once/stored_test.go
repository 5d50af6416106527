package once

import (
	"context"
	"encoding/json"
	"errors"
	"testing"

	"chervilpath/core/object"
)

// Guards against a key whose outcome is stored and counts as unknown, because another stored
// object cannot be read, and against one whose outcome may be in that object and counts as
// absent.
func TestUnreadableOutcomesHideNoOthers(t *testing.T) {
	sound, err := json.Marshal([]Record{{Key: "k-1"}})
	if err != nil {
		t.Fatal(err)
	}
	store := object.Store{List: func(context.Context, string, string) ([]object.Object, error) {
		return []object.Object{{Name: "i.000001"}, {Name: "i.000002", Data: []byte(`{"odd":1}`)}, {Name: "i.000003", Data: sound}}, nil
	}}
	if r, err := findStoredRecord(t.Context(), store, Owner{Incarnation: "i"}, "k-1"); err != nil || r.Key != "k-1" {
		t.Errorf("record %+v, error %v", r, err)
	}
	if _, err := findStoredRecord(t.Context(), store, Owner{Incarnation: "i"}, "k-2"); err == nil || errors.Is(err, object.ErrNotFound) {
		t.Errorf("a key that may be in the unreadable object: error %v, want one that says so", err)
	}
}
