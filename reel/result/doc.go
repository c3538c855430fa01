// Package result defines the result codes of requests and the error type that carries them.
package result
