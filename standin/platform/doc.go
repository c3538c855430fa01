// Package platform simulates the platform's configuration service for tests and the bench.
package platform
