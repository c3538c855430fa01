// Package extra bounds the arrivals at a service beyond the first of each request.
package extra
