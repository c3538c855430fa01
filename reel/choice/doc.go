// Package choice selects the target of each attempt.
//
// The selection is passive: it uses the latencies, failures and load reports of earlier attempts and sends no health
// checks of its own. It chooses among targets to which the instance connects itself; package route chooses targets that
// are reached through their holders.
package choice
