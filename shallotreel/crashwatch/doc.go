// Package crashwatch stops requests that crash targets.
//
// It attributes crashes to the requests that were running, keeps the marks on them, and logs each attribution, each mark
// learned from a peer and each refusal.
package crashwatch
