// Package statusline says which status lines are those of an HTTP/1 response. It is stricter than net/http, which reads any three
// characters that make a number as a status, and any digits as a version.
package statusline
