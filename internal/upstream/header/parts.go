package header

import (
	"strconv"
	"strings"

	"agateward/ward"
)

// Tokens reads the sizes of a request, PROMPT,OUTPUT in tokens. Each has to fit into 31 bits, so
// that sums over requests fit into an int.
func Tokens(value string) (prompt, output int, ok bool) {
	in, out, _ := strings.Cut(value, ",")
	a, errA := strconv.ParseUint(strings.TrimSpace(in), 10, 31)
	b, errB := strconv.ParseUint(strings.TrimSpace(out), 10, 31)
	return int(a), int(b), errA == nil && errB == nil
}

// SharedParts reads the parts of a prompt, ID:TOKENS with the ID in hexadecimal,
// separated by commas. The last part belongs to the request alone and is left out. A part
// that can't be read is left out too: parts never decide whether a request is valid.
func SharedParts(values []string) []ward.PromptPart {
	list := strings.Split(strings.Join(values, ","), ",")
	var parts []ward.PromptPart
	for _, part := range list[:len(list)-1] {
		id, tokens, ok := strings.Cut(strings.TrimSpace(part), ":")
		n, errN := strconv.Atoi(tokens)
		x, errX := strconv.ParseUint(id, 16, 64)
		if ok && errN == nil && errX == nil {
			parts = append(parts, ward.PromptPart{ID: x, Tokens: n})
		}
	}
	return parts
}
