// Package address selects the instances that a caller should use and balances callers
// evenly among them.
package address
