package snapshot

import (
	"reflect"
	"testing"

	"github.com/lacewingdrift/lacewingdrift/internal/platform/object"
)

// TestMessagesCarryWholeObjects guards against a field of objects that nodes without their own contact to the store miss.
func TestMessagesCarryWholeObjects(t *testing.T) {
	o := object.Object{Kind: "rollouts", Name: "svc", Version: object.NewVersion(2, 9), Value: []byte(`{"target":"v2"}`), Status: []byte(`{"state":"running"}`), Created: 7}
	v := reflect.ValueOf(o)
	for i := range v.NumField() {
		if v.Field(i).IsZero() {
			t.Errorf("field %s of the test's object is not set", v.Type().Field(i).Name)
		}
	}
	lists := map[string]object.List{"rollouts": {Version: object.NewVersion(2, 10), Items: []object.Object{o}}}
	if got := fromLists(toLists(lists)); !reflect.DeepEqual(got, lists) {
		t.Errorf("got lists %+v, want %+v", got, lists)
	}
	events := Update{Events: []object.Event{{Type: object.Put, Object: o}, {Type: object.Delete, Object: o}}}
	if got := fromUpdate(toUpdate(events)); !reflect.DeepEqual(got, events) {
		t.Errorf("got events %+v, want %+v", got, events)
	}
}
