// Package door serves callers: it reads a request, runs it over targets, and writes its one answer.
package door
