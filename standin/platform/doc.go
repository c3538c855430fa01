// Package platform simulates the platform's configuration service for tests and the bench. It does not simulate the
// key-value store; package storetest does.
package platform
