// Package choice selects the target of each attempt.
//
// The selection is passive: it uses the latencies, failures and load reports of earlier attempts and sends no
// health checks of its own.
package choice
