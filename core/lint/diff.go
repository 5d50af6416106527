package lint

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"
)

// Change is a difference between two configurations, in the words of their format. Old or New
// is empty if the entry was added or removed.
type Change struct {
	Path string `json:"path"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

// Diff returns the differences between two values as encoding/json decodes them, in the order
// of their paths. Elements of lists that have the identity field are matched by it, others by
// their position. Values of the fields in secret are not shown.
func Diff(before, after any, identity string, secret ...string) []Change {
	d := differ{identity: identity, secret: secret}
	d.diff("", before, after)
	return d.changes
}

// absent stands for a field or an element that is not there, unlike null.
type absent struct{}

type differ struct {
	identity string
	secret   []string
	changes  []Change
}

func (d *differ) diff(path string, before, after any) {
	if reflect.DeepEqual(before, after) {
		return
	}
	if a, ok := before.(map[string]any); ok {
		if b, ok := after.(map[string]any); ok {
			d.diffFields(path, a, b)
			return
		}
	}
	if a, ok := before.([]any); ok {
		if b, ok := after.([]any); ok {
			d.diffLists(path, a, b)
			return
		}
	}
	d.changes = append(d.changes, Change{Path: path, Old: show(before), New: show(after)})
}

func (d *differ) diffFields(path string, before, after map[string]any) {
	names := make(map[string]bool)
	for name := range before {
		names[name] = true
	}
	for name := range after {
		names[name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		p := name
		if path != "" {
			p = path + "." + name
		}
		if slices.Contains(d.secret, name) {
			if !reflect.DeepEqual(before[name], after[name]) {
				d.changes = append(d.changes, Change{Path: p, Old: count(before[name]), New: count(after[name])})
			}
			continue
		}
		d.diff(p, field(before, name), field(after, name))
	}
}

func (d *differ) diffLists(path string, before, after []any) {
	a, keysA, ok := d.byIdentity(before)
	b, keysB, okB := d.byIdentity(after)
	if !ok || !okB {
		for i := range max(len(before), len(after)) {
			d.diff(fmt.Sprintf("%s[%d]", path, i), at(before, i), at(after, i))
		}
		return
	}
	for _, key := range keysA {
		d.diff(fmt.Sprintf("%s[%s]", path, key), a[key], field(b, key))
	}
	for _, key := range keysB {
		if _, known := a[key]; !known {
			d.diff(fmt.Sprintf("%s[%s]", path, key), absent{}, b[key])
		}
	}
}

// byIdentity returns the elements of a list by their identity, and their identities in order.
// It reports false if an element has none or shares it.
func (d *differ) byIdentity(list []any) (byKey map[string]any, keys []string, ok bool) {
	byKey = make(map[string]any, len(list))
	for _, element := range list {
		fields, _ := element.(map[string]any)
		key, isText := fields[d.identity].(string)
		if _, known := byKey[key]; !isText || known {
			return nil, nil, false
		}
		byKey[key] = element
		keys = append(keys, key)
	}
	return byKey, keys, true
}

func at(list []any, i int) any {
	if i < len(list) {
		return list[i]
	}
	return absent{}
}

func field(fields map[string]any, name string) any {
	if v, ok := fields[name]; ok {
		return v
	}
	return absent{}
}

// show returns a value as JSON, or "" if there is none.
func show(v any) string {
	if v == (absent{}) {
		return ""
	}
	data, err := json.Marshal(v)
	if err != nil {
		return fmt.Sprint(v)
	}
	return string(data)
}

func count(v any) string {
	list, ok := v.([]any)
	if !ok {
		return ""
	}
	return fmt.Sprintf("%d values", len(list))
}
