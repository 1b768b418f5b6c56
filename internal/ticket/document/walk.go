package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"time"

	"agateward/ward"

	"github.com/tailscale/hujson"
)

// walker compares a parsed document with the Go type that it is to fill.
type walker struct {
	text   []byte
	faults []Fault
	// lines maps paths to lines when it is not nil.
	lines map[string]int
}

func (w *walker) line(offset int) int { return 1 + bytes.Count(w.text[:offset], []byte("\n")) }

// lineOf returns the line of a path, or that of the nearest enclosing value
// when the path itself is not in the document.
func (w *walker) lineOf(path string) int {
	for path != "" {
		if n, ok := w.lines[path]; ok {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
	return 0
}

func (w *walker) fault(v *hujson.Value, path, format string, args ...any) {
	w.faults = append(w.faults, Fault{Line: w.line(v.StartOffset), Key: path, Text: fmt.Sprintf(format, args...)})
}

func (w *walker) walk(v *hujson.Value, t reflect.Type, path string) {
	if w.lines != nil {
		w.lines[path] = w.line(v.StartOffset)
	}
	switch {
	case t == reflect.TypeFor[time.Time]() || t == reflect.TypeFor[ward.Duration]():
		w.leaf(v, t, path)
	case t.Kind() == reflect.Struct:
		w.object(v, t, path)
	case t.Kind() == reflect.Slice:
		w.array(v, t, path)
	default:
		w.leaf(v, t, path)
	}
}

func (w *walker) object(v *hujson.Value, t reflect.Type, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		w.fault(v, path, "give an object: {...}")
		return
	}
	known := keysOf(t)
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := ""
		if l, ok := m.Name.Value.(hujson.Literal); ok {
			name = l.String()
		}
		at := join(path, name)
		field, ok := known[name]
		switch {
		case !ok:
			w.fault(&m.Name, at, "unknown key; allowed are %s", strings.Join(allowed(t), ", "))
			continue
		case seen[name]:
			w.fault(&m.Name, at, "the key stands twice; keep one")
			continue
		}
		seen[name] = true
		w.walk(&m.Value, field, at)
	}
}

func (w *walker) array(v *hujson.Value, t reflect.Type, path string) {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		w.fault(v, path, "give a list: [...]")
		return
	}
	for i := range arr.Elements {
		w.walk(&arr.Elements[i], t.Elem(), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (w *walker) leaf(v *hujson.Value, t reflect.Type, path string) {
	l, ok := v.Value.(hujson.Literal)
	if !ok || l.Kind() == 'n' {
		w.fault(v, path, "%s", wanted(t))
		return
	}
	err := json.Unmarshal([]byte(l), reflect.New(t).Interface())
	switch {
	case err == nil:
	case t == reflect.TypeFor[ward.Duration]():
		w.fault(v, path, "%s", err)
	default:
		w.fault(v, path, "%s", wanted(t))
	}
}

// wanted says what a value of type t looks like.
func wanted(t reflect.Type) string {
	switch {
	case t == reflect.TypeFor[time.Time]():
		return `give a time such as "2026-12-03T22:00:00Z"`
	case t == reflect.TypeFor[ward.Duration]():
		return `give a duration such as "250ms"`
	}
	switch t.Kind() {
	case reflect.String:
		return `give a text: "..."`
	case reflect.Bool:
		return "give true or false"
	case reflect.Uint8, reflect.Uint64:
		return "give a whole number from 0 up, without quotes"
	}
	return "give a whole number, without quotes"
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// keysOf returns the types of a struct's fields by their JSON keys.
func keysOf(t reflect.Type) map[string]reflect.Type {
	keys := map[string]reflect.Type{}
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		keys[name] = t.Field(i).Type
	}
	return keys
}

// allowed returns the JSON keys of a struct in the order of its fields.
func allowed(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		name, _, _ := strings.Cut(t.Field(i).Tag.Get("json"), ",")
		keys = append(keys, name)
	}
	return keys
}
