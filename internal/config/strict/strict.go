// Package strict provides the decoder of the project's own file formats: JSON
// with comments. Unknown keys, repeated keys and values of the wrong type are
// faults. One call of Decode reports all faults of a file.
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

// Fault is one error in a file.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1; 0 means that the line is not known.
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

// Document is a decoded file with the lines of its keys.
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

// Decode reads b into the struct that v points to. Fields that are not in the
// file keep their value, so the caller sets defaults before.
func Decode(file string, b []byte, v any) (*Document, []Fault) {
	d := &Document{file: file, raw: b}
	tree, err := hujson.Parse(b)
	if err != nil {
		return d, []Fault{d.syntaxFault(err)}
	}
	// Standardize keeps byte offsets, so the offsets of tree also hold for std.
	std, err := hujson.Standardize(append([]byte(nil), b...))
	if err != nil {
		return d, []Fault{d.syntaxFault(err)}
	}
	d.std = std
	d.decodeValue("", tree, reflect.ValueOf(v).Elem())
	return d, d.faults
}

// Fault returns a fault at the line of key, or of its nearest ancestor in the
// file.
func (d *Document) Fault(key, format string, args ...any) Fault {
	return Fault{File: d.file, Line: d.line(key), Key: key, Text: fmt.Sprintf(format, args...)}
}

func (d *Document) syntaxFault(err error) Fault {
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

func (d *Document) addFault(key string, offset int, format string, args ...any) {
	line := d.lineAt(offset)
	d.faults = append(d.faults, Fault{File: d.file, Line: line, Key: key, Text: fmt.Sprintf(format, args...)})
}

func (d *Document) lineAt(offset int) int {
	return bytes.Count(d.raw[:offset], []byte("\n")) + 1
}

// decodeValue decodes one value into v and records its line.
func (d *Document) decodeValue(key string, tree hujson.Value, v reflect.Value) {
	d.lines = append(d.lines, keyLine{key, d.lineAt(tree.StartOffset)})
	switch node := tree.Value.(type) {
	case *hujson.Object:
		if v.Kind() == reflect.Struct && !isLeaf(v) {
			d.decodeObject(key, node, v)
			return
		}
	case *hujson.Array:
		if v.Kind() == reflect.Slice && !isLeaf(v) {
			d.decodeArray(key, node, v)
			return
		}
	}
	d.decodeLeaf(key, tree, v)
}

func (d *Document) decodeObject(key string, node *hujson.Object, v reflect.Value) {
	seen := make(map[string]bool, len(node.Members))
	for _, m := range node.Members {
		name := m.Name.Value.(hujson.Literal).String()
		path := strings.TrimPrefix(key+"."+name, ".")
		if seen[name] {
			d.addFault(path, m.Name.StartOffset, "is given twice")
			continue
		}
		seen[name] = true
		field, ok := fieldOf(v, name)
		if !ok {
			d.addFault(path, m.Name.StartOffset, "unknown key; allowed here: %s", strings.Join(keysOf(v.Type()), ", "))
			continue
		}
		d.decodeValue(path, m.Value, field)
	}
}

func (d *Document) decodeArray(key string, node *hujson.Array, v reflect.Value) {
	list := reflect.MakeSlice(v.Type(), len(node.Elements), len(node.Elements))
	for i, e := range node.Elements {
		d.decodeValue(fmt.Sprintf("%s[%d]", key, i), e, list.Index(i))
	}
	v.Set(list)
}

func (d *Document) decodeLeaf(key string, tree hujson.Value, v reflect.Value) {
	text := bytes.TrimSpace(d.std[tree.StartOffset:tree.EndOffset])
	err := json.Unmarshal(text, v.Addr().Interface())
	_, isTime := v.Interface().(time.Time)
	switch {
	case string(text) == "null":
		d.addFault(key, tree.StartOffset, "null is no value; give %s, or leave the key out", kindName(v.Kind()))
	case err == nil:
	case isTime:
		d.addFault(key, tree.StartOffset, "%s is not a time such as %q", text, "2026-12-03T22:00:00Z")
	case isLeaf(v):
		d.addFault(key, tree.StartOffset, "%v", err)
	default:
		d.addFault(key, tree.StartOffset, "%s is not %s", text, kindName(v.Kind()))
	}
}

// isLeaf reports whether v decodes itself from JSON or text.
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
