// Package text provides the answers of the stand-in engine. The text of an
// answer depends on its prompt alone, so that a caller can check that an answer
// belongs to its request and that no token is missing or repeated.
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

// Range of the length of an answer for which the caller sets no bound.
const (
	minLen   = 32  // tokens
	lenRange = 224 // tokens between the shortest and the longest
)

// bytesPerToken is the usual estimate for text.
const bytesPerToken = 4

// Answer is the answer to one prompt.
type Answer struct {
	Prompt string
}

// Hash returns a hash of the prompt as eight hexadecimal digits.
func (a Answer) Hash() string { return fmt.Sprintf("%08x", uint32(xxhash.Sum64String(a.Prompt))) }

// Token returns the i-th token, counted from 0. All but the first begin with a
// space.
func (a Answer) Token(i int) string { return token(a.Hash(), i) }

// Tokens returns the tokens from first to end, without end.
func (a Answer) Tokens(first, end int) string {
	var b strings.Builder
	h := a.Hash()
	for i := first; i < end; i++ {
		b.WriteString(token(h, i))
	}
	return b.String()
}

// Check returns an error unless got is the complete answer of n tokens.
func (a Answer) Check(got string, n int) error {
	want := a.Tokens(0, n)
	if got == want {
		return nil
	}
	if !strings.HasPrefix(got, a.Hash()) {
		return fmt.Errorf("answer %.20q belongs to another prompt than %s", got, a.Hash())
	}
	return fmt.Errorf("answer of %d bytes has missing or repeated tokens, want %d tokens of %d bytes", len(got), n, len(want))
}

// DefaultLength returns the length in tokens of an answer without a bound.
func (a Answer) DefaultLength() int { return minLen + int(xxhash.Sum64String(a.Prompt)>>32%lenRange) }

// PromptTokens estimates the length of the prompt in tokens.
func (a Answer) PromptTokens() int { return (len(a.Prompt) + bytesPerToken - 1) / bytesPerToken }

func token(hash string, i int) string {
	if i == 0 {
		return hash + ".0"
	}
	return " " + hash + "." + strconv.Itoa(i)
}
