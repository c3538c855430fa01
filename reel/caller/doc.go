// Package caller holds the protocol between callers and entries, and a client that keeps its rules.
package caller
