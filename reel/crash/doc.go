// Package crash finds out which requests were running on a target when its process crashed.
//
// A Ledger keeps the attempts without an answer. An attempt is attributed to a crash only on evidence that the target's
// process has ended without leaving first: it refuses connections, it has started again, another target has its address,
// or its registration ended while it was silent. A broken connection alone is no evidence.
package crash
