// Package extra implements the retry and hedge budget of a service: it bounds the extra attempts,
// which are those after the first of each request, to a ratio of the requests in a sliding window plus a fixed number.
package extra
