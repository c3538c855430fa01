// Package extra implements the retry and hedge budget of a service: it bounds the arrivals at the service beyond the
// first of each request, as a ratio of the requests in a sliding window plus a fixed allowance.
package extra
