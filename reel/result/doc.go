// Package result numbers the outcomes of a request and types the errors that carry them.
package result
