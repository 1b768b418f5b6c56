// Package strict provides the decoder of the project's own file formats: JSON
// with comments, in which an unknown or repeated key and a value of the wrong
// type are faults, and all faults are found at once.
//
// # Usage
//
//	var s settings.Settings
//	doc, faults := strict.Decode("entry.jsonc", b, &s)
//	faults = append(faults, doc.Fault("callers.address", "is missing"))
//
// Keys are named by their path, such as "peers.seeds[1]".
package strict

import (
	"bytes"
	"encoding"
	"encoding/json"
	"fmt"
	"reflect"
	"sort"
	"strings"
	"time"

	"github.com/tailscale/hujson"
)

// Fault is one thing that is wrong in a file.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1; 0 means that the fault has no place in the file.
	Line int    `json:"line"`
	Key  string `json:"key"`
	Text string `json:"text"`
}

// String returns the fault as file:line: key: text.
func (f Fault) String() string {
	s := f.File
	if f.Line > 0 {
		s += fmt.Sprintf(":%d", f.Line)
	}
	if f.Key != "" {
		s += ": " + f.Key
	}
	return s + ": " + f.Text
}

// Document is a decoded file that can tell the line of a key.
type Document struct {
	file   string
	raw    []byte
	std    []byte
	lines  []keyLine
	faults []Fault
}

type keyLine struct {
	key  string
	line int
}

// Decode reads b into the struct that v points to. Fields that the file does
// not name keep their value, so defaults are filled in before.
func Decode(file string, b []byte, v any) (*Document, []Fault) {
	d := &Document{file: file, raw: b}
	tree, err := hujson.Parse(b)
	if err != nil {
		return d, []Fault{d.syntax(err)}
	}
	// Standardize keeps byte offsets, so a leaf's text is found by its place.
	std, err := hujson.Standardize(append([]byte(nil), b...))
	if err != nil {
		return d, []Fault{d.syntax(err)}
	}
	d.std = std
	d.value("", tree, reflect.ValueOf(v).Elem())
	return d, d.faults
}

// Fault returns a fault at the key, or at the nearest key around it that the
// file names.
func (d *Document) Fault(key, format string, args ...any) Fault {
	return Fault{File: d.file, Line: d.line(key), Key: key, Text: fmt.Sprintf(format, args...)}
}

func (d *Document) syntax(err error) Fault {
	f := Fault{File: d.file, Text: strings.TrimPrefix(err.Error(), "hujson: ")}
	var column int
	if n, _ := fmt.Sscanf(f.Text, "line %d, column %d:", &f.Line, &column); n == 2 {
		_, f.Text, _ = strings.Cut(f.Text, ": ")
	}
	return f
}

// line returns the line of key or of its nearest ancestor in the file.
func (d *Document) line(key string) int {
	for key != "" {
		for _, k := range d.lines {
			if k.key == key {
				return k.line
			}
		}
		key = key[:max(strings.LastIndexAny(key, ".["), 0)]
	}
	return 1
}

func (d *Document) add(key string, offset int, format string, args ...any) {
	line := d.lineAt(offset)
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

func (d *Document) lineAt(offset int) int {
	return bytes.Count(d.raw[:offset], []byte("\n")) + 1
}

// value decodes one value into v and notes its line.
func (d *Document) value(key string, tree hujson.Value, v reflect.Value) {
	d.lines = append(d.lines, keyLine{key, d.lineAt(tree.StartOffset)})
	switch node := tree.Value.(type) {
	case *hujson.Object:
		if v.Kind() == reflect.Struct && !isLeaf(v) {
			d.object(key, node, v)
			return
		}
	case *hujson.Array:
		if v.Kind() == reflect.Slice && !isLeaf(v) {
			d.array(key, node, v)
			return
		}
	}
	d.leaf(key, tree, v)
}

func (d *Document) object(key string, node *hujson.Object, v reflect.Value) {
	seen := make(map[string]bool, len(node.Members))
	for _, m := range node.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := strings.TrimPrefix(key+"."+name, ".")
		if seen[name] {
			d.add(path, m.Name.StartOffset, "is given twice")
			continue
		}
		seen[name] = true
		field, ok := fieldOf(v, name)
		if !ok {
			d.add(path, m.Name.StartOffset, "unknown key; allowed here: %s", strings.Join(keysOf(v.Type()), ", "))
			continue
		}
		d.value(path, m.Value, field)
	}
}

func (d *Document) array(key string, node *hujson.Array, v reflect.Value) {
	list := reflect.MakeSlice(v.Type(), len(node.Elements), len(node.Elements))
	for i, e := range node.Elements {
		d.value(fmt.Sprintf("%s[%d]", key, i), e, list.Index(i))
	}
	v.Set(list)
}

func (d *Document) leaf(key string, tree hujson.Value, v reflect.Value) {
	text := bytes.TrimSpace(d.std[tree.StartOffset:tree.EndOffset])
	err := json.Unmarshal(text, v.Addr().Interface())
	_, isTime := v.Interface().(time.Time)
	switch {
	case string(text) == "null":
		d.add(key, tree.StartOffset, "null is no value; give %s, or leave the key out", kindName(v.Kind()))
	case err == nil:
	case isTime:
		d.add(key, tree.StartOffset, "%s is not a time such as %q", text, "2026-12-03T22:00:00Z")
	case isLeaf(v):
		d.add(key, tree.StartOffset, "%v", err)
	default:
		d.add(key, tree.StartOffset, "%s is not %s", text, kindName(v.Kind()))
	}
}

// isLeaf tells whether a type reads its own JSON.
func isLeaf(v reflect.Value) bool {
	switch v.Addr().Interface().(type) {
	case json.Unmarshaler, encoding.TextUnmarshaler:
		return true
	}
	return false
}

func kindName(k reflect.Kind) string {
	switch k {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Struct:
		return "an object"
	case reflect.Slice:
		return "a list"
	case reflect.Uint, reflect.Uint8, reflect.Uint16, reflect.Uint32, reflect.Uint64:
		return "a whole number from 0 up"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	}
	return "a number"
}

func tagName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	return name
}

func fieldOf(v reflect.Value, name string) (reflect.Value, bool) {
	for i := range v.NumField() {
		if tagName(v.Type().Field(i)) == name {
			return v.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func keysOf(t reflect.Type) []string {
	var keys []string
	for i := range t.NumField() {
		if name := tagName(t.Field(i)); name != "" && name != "-" {
			keys = append(keys, name)
		}
	}
	sort.Strings(keys)
	return keys
}
