package testserver

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// DraftRequest is the request body of the stand-in model service.
type DraftRequest struct {
	Prompt string
	// Tokens is how many tokens the answer has.
	Tokens int
}

// Token returns the n-th token, from 1, of the answer to prompt. Answers are a
// function of the prompt alone, so that a caller can tell a wrong or mixed
// answer from a right one, and so that any target can resume a stream.
func Token(prompt string, n int) string {
	sum := xxhash.Sum64String(prompt + "#" + strconv.Itoa(n))

	return strconv.FormatUint(sum%100000, 36)
}

// Event returns the n-th server-sent event of the answer to prompt.
func Event(prompt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"Token\":%q}\n\n", n, Token(prompt, n))
}

// LastEvent closes a whole answer.
const LastEvent = "event: done\ndata: {}\n\n"
