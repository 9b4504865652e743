package testserver

import (
	"fmt"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// DraftRequest is the request body of the model service.
type DraftRequest struct {
	Prompt string
	// Tokens is the number of tokens in the answer.
	Tokens int
}

// Token returns the n-th token of the answer to prompt, counting from 1. Tokens depend
// only on the prompt and n: callers can recognize wrong or mixed answers, and any
// target can resume a stream.
func Token(prompt string, n int) string {
	sum := xxhash.Sum64String(prompt + "#" + strconv.Itoa(n))

	return strconv.FormatUint(sum%100000, 36)
}

// Event returns the n-th server-sent event of the answer to prompt.
func Event(prompt string, n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"Token\":%q}\n\n", n, Token(prompt, n))
}

// LastEvent is the event that ends a complete answer.
const LastEvent = "event: done\ndata: {}\n\n"
