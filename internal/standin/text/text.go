// Package text provides the answers of the stand-in engine. The text of an
// answer hangs on its prompt alone, so that a caller can tell whether an answer
// belongs to its request and whether a token is missing or came twice.
//
// # Usage
//
//	a := text.Answer{Prompt: prompt}
//	w.Write(a.Token(i))
//	err := a.Check(got, n)
package text

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Lengths of an answer for which the caller sets no bound.
const (
	minNatural = 32  // tokens
	natural    = 224 // tokens between the shortest and the longest
)

// bytesPerToken is the customary estimate for text.
const bytesPerToken = 4

// Answer is the answer to one prompt.
type Answer struct {
	Prompt string
}

// Hash returns eight hexadecimal digits that stand for the prompt.
func (a Answer) Hash() string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(a.Prompt))) }

// Token returns the i-th token, with a blank in front of all but the first.
func (a Answer) Token(i int) string { return token(a.Hash(), i) }

// Words returns the tokens from first up to, not including, end.
func (a Answer) Words(first, end int) string {
	var b strings.Builder
	h := a.Hash()
	for i := first; i < end; i++ {
		b.WriteString(token(h, i))
	}
	return b.String()
}

// Check tells whether got is the whole answer of n tokens.
func (a Answer) Check(got string, n int) error {
	want := a.Words(0, n)
	if got == want {
		return nil
	}
	if !strings.HasPrefix(got, a.Hash()) {
		return fmt.Errorf("answer %.20q belongs to another prompt than %s", got, a.Hash())
	}
	return fmt.Errorf("answer of %d bytes has tokens missing or twice, want %d tokens of %d bytes", len(got), n, len(want))
}

// Natural returns the length in tokens of an answer without a bound.
func (a Answer) Natural() int { return minNatural + int(xxhash.Sum64String(a.Prompt)>>32%natural) }

// PromptTokens estimates the length of the prompt in tokens.
func (a Answer) PromptTokens() int { return (len(a.Prompt) + bytesPerToken - 1) / bytesPerToken }

func token(hash string, i int) string {
	if i == 0 {
		return hash + ".0"
	}
	return " " + hash + "." + strconv.Itoa(i)
}
