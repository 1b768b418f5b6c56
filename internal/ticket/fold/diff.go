package fold

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"agateward/ward"
)

// fields maps the fields of an object to their JSON values.
type fields map[string]json.RawMessage

// Diff returns one line for each object that differs between before and after:
// "+" for a new one, "-" for a removed one, "~" with the changed fields.
func Diff(before, after ward.Config) []string {
	var lines []string
	lines = append(lines, diffList(kindUpstream, before.Upstreams, after.Upstreams, upstreamMeta)...)
	lines = append(lines, diffList(kindRoute, before.Routes, after.Routes, routeMeta)...)
	lines = append(lines, diffList(kindTeam, before.Teams, after.Teams, teamMeta)...)
	lines = append(lines, diffList(kindMove, before.Moves, after.Moves, moveMeta)...)
	return lines
}

func diffList[T any](kind string, before, after []T, metaOf func(*T) meta) []string {
	old := map[string]fields{}
	for i := range before {
		old[metaOf(&before[i]).name] = fieldsOf(before[i])
	}
	var lines []string
	for i := range after {
		name := metaOf(&after[i]).name
		now := fieldsOf(after[i])
		was, ok := old[name]
		delete(old, name)
		switch {
		case !ok:
			lines = append(lines, fmt.Sprintf("+ %s %s%s", kind, name, describe(nil, now)))
		default:
			if d := describe(was, now); d != "" {
				lines = append(lines, fmt.Sprintf("~ %s %s%s", kind, name, d))
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(old)) {
		lines = append(lines, fmt.Sprintf("- %s %s", kind, name))
	}
	return lines
}

// fieldsOf returns the fields of an object except its name and number.
func fieldsOf(x any) fields {
	b, err := json.Marshal(x)
	if err != nil {
		return nil
	}
	var f fields
	if err := json.Unmarshal(b, &f); err != nil {
		return nil
	}
	delete(f, "name")
	delete(f, "ticket")
	return f
}

// describe lists the fields that differ, sorted by name.
func describe(was, now fields) string {
	all := maps.Clone(now)
	maps.Copy(all, was)
	text := ""
	for _, k := range slices.Sorted(maps.Keys(all)) {
		a, b := string(was[k]), string(now[k])
		switch {
		case a == b:
		case a == "":
			text += fmt.Sprintf(" %s=%s", k, b)
		case b == "":
			text += fmt.Sprintf(" %s=%s->(none)", k, a)
		default:
			text += fmt.Sprintf(" %s=%s->%s", k, a, b)
		}
	}
	return text
}
