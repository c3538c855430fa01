// Package storepos identifies states of the platform's store.
//
// The store can be restored from a copy. Its era then rises, and its revisions begin again at those of the copy, so that a
// revision says something only together with its era.
package storepos
