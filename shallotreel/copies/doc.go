// Package copies lets instances read the catalogue from each other, so that few of them read the store.
package copies
